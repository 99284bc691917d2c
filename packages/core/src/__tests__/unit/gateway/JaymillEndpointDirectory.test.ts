import { expect, test } from 'vitest'
import { DirectoryEvent, EndpointDirectory, type EndpointRecord } from '../../../index.js'

const GRACE_MS = 2_000

function record (id: string, overrides: Partial<EndpointRecord> = {}): EndpointRecord {
  return { id, service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, leaving: false, warmupMs: 0, ...overrides }
}

function ids (directory: EndpointDirectory): string[] {
  return directory.usable('s').map(({ id }) => id)
}

test('does not use endpoints that are leaving or were removed', () => {
  const directory = new EndpointDirectory()
  directory.applySnapshot([record('a'), record('b'), record('c')], 5, 0)
  expect(directory.apply([{ id: 'a', record: record('a', { leaving: true }) }, { id: 'b' }], 6, 0).map(({ event }) => event))
    .toEqual([DirectoryEvent.Leaving, DirectoryEvent.Removed])
  expect(ids(directory)).toEqual(['c'])
})

test('ignores lists and changes that are older than the current revision', () => {
  const directory = new EndpointDirectory()
  directory.applySnapshot([record('a', { leaving: true })], 9, 0)
  directory.applySnapshot([record('a')], 8, 0)
  directory.apply([{ id: 'a', record: record('a') }], 7, 0)
  expect(ids(directory)).toEqual([])
})

test('keeps endpoints whose records expired during an outage for the grace period', () => {
  const directory = new EndpointDirectory()
  directory.applySnapshot([record('a'), record('b')], 5, 0)
  directory.publisherRecovered(10_000)
  directory.applySnapshot([record('b')], 6, 10_000)
  expect(ids(directory)).toEqual(['a', 'b'])
  directory.expire(10_000 + GRACE_MS - 1)
  expect(ids(directory)).toEqual(['a', 'b'])
  expect(directory.expire(10_000 + GRACE_MS).map(({ event }) => event)).toEqual([DirectoryEvent.Removed])
  expect(ids(directory)).toEqual(['b'])
})

test('keeps an endpoint that is published again within the grace period', () => {
  const directory = new EndpointDirectory()
  directory.applySnapshot([record('a')], 5, 0)
  directory.publisherRecovered(10_000)
  directory.applySnapshot([], 6, 10_000)
  directory.apply([{ id: 'a', record: record('a') }], 7, 11_000)
  expect(directory.expire(20_000)).toEqual([])
  expect(ids(directory)).toEqual(['a'])
})

test('removes a missing endpoint without a grace period if it was leaving', () => {
  const directory = new EndpointDirectory()
  directory.applySnapshot([record('a', { leaving: true })], 5, 0)
  directory.publisherRecovered(10_000)
  directory.applySnapshot([], 6, 10_000)
  expect(directory.records()).toEqual([])
})

test('reports a changed address of an endpoint', () => {
  const directory = new EndpointDirectory()
  directory.applySnapshot([record('a')], 5, 0)
  const [change] = directory.apply([{ id: 'a', record: record('a', { address: '10.0.0.2:80' }) }], 6, 0)
  expect(change?.event).toBe(DirectoryEvent.Changed)
  expect(directory.get('a')?.address).toBe('10.0.0.2:80')
})
