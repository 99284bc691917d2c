import { expect, test } from 'vitest'
import { CrashQuarantine } from '@jaymill/core'
import { CrashReportSchedule } from '../../peers/JaymillCrashReportSchedule.js'
import { WorkScope } from '../../peers/JaymillHostMessage.js'

const AFTER_CRASH_MS = 1_050

function scheduleAfterCrash (): CrashReportSchedule {
  const quarantine = new CrashQuarantine()
  const schedule = new CrashReportSchedule(quarantine)
  quarantine.recordCrash({ id: 'e1', runs: [{ request: 'r', parts: ['p'] }] }, 1_000)
  schedule.changed()
  return schedule
}

// Guards against a reply to one host that takes the place of the message that tells all the others.
test('a reply to a new host does not delay the report for the others', () => {
  const schedule = scheduleAfterCrash()
  expect(schedule.next(WorkScope.None, true, AFTER_CRASH_MS)).toBeDefined()
  expect(schedule.next(WorkScope.None, false, AFTER_CRASH_MS)).toBeDefined()
})

// Guards against ages that are older than the message, with which a receiver would take one incident for two.
test('the report has the ages of the moment at which it is sent', () => {
  const schedule = scheduleAfterCrash()
  expect(schedule.next(WorkScope.None, false, AFTER_CRASH_MS)?.crashes[0]?.[1]).toBe(50)
  expect(schedule.next(WorkScope.Host, false, AFTER_CRASH_MS + 300)?.crashes[0]?.[1]).toBe(350)
})
