import { expect, test } from 'vitest'
import { DirectoryEvent, EndpointDirectory, type EndpointRecord } from '../../../index.js'

const RETURN_MS = 2_000

function record (id: string, over: Partial<EndpointRecord> = {}): EndpointRecord {
  return { id, service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, leaving: false, warmupMs: 0, ...over }
}

function ids (directory: EndpointDirectory): string[] {
  return directory.usable('s').map(({ id }) => id)
}

test('gives no work to an endpoint that is leaving or was removed', () => {
  const directory = new EndpointDirectory()
  directory.adoptAll([record('a'), record('b'), record('c')], 5, 0)
  expect(directory.apply([{ id: 'a', record: record('a', { leaving: true }) }, { id: 'b' }], 6, 0).map(({ event }) => event))
    .toEqual([DirectoryEvent.Leaving, DirectoryEvent.Removed])
  expect(ids(directory)).toEqual(['c'])
})

test('ignores a list that is older than what is known', () => {
  const directory = new EndpointDirectory()
  directory.adoptAll([record('a', { leaving: true })], 9, 0)
  directory.adoptAll([record('a')], 8, 0)
  directory.apply([{ id: 'a', record: record('a') }], 7, 0)
  expect(ids(directory)).toEqual([])
})

test('keeps endpoints whose records lapsed in an outage until they had time to return', () => {
  const directory = new EndpointDirectory()
  directory.adoptAll([record('a'), record('b')], 5, 0)
  directory.publisherReturned(10_000)
  directory.adoptAll([record('b')], 6, 10_000)
  expect(ids(directory)).toEqual(['a', 'b'])
  directory.expire(10_000 + RETURN_MS - 1)
  expect(ids(directory)).toEqual(['a', 'b'])
  expect(directory.expire(10_000 + RETURN_MS).map(({ event }) => event)).toEqual([DirectoryEvent.Removed])
  expect(ids(directory)).toEqual(['b'])
})

test('keeps an endpoint for good that has returned after an outage', () => {
  const directory = new EndpointDirectory()
  directory.adoptAll([record('a')], 5, 0)
  directory.publisherReturned(10_000)
  directory.adoptAll([], 6, 10_000)
  directory.apply([{ id: 'a', record: record('a') }], 7, 11_000)
  expect(directory.expire(20_000)).toEqual([])
  expect(ids(directory)).toEqual(['a'])
})

test('does not wait for the return of an endpoint that was leaving', () => {
  const directory = new EndpointDirectory()
  directory.adoptAll([record('a', { leaving: true })], 5, 0)
  directory.publisherReturned(10_000)
  directory.adoptAll([], 6, 10_000)
  expect(directory.records()).toEqual([])
})

test('tells of an endpoint that has another address', () => {
  const directory = new EndpointDirectory()
  directory.adoptAll([record('a')], 5, 0)
  const [note] = directory.apply([{ id: 'a', record: record('a', { address: '10.0.0.2:80' }) }], 6, 0)
  expect(note?.event).toBe(DirectoryEvent.Changed)
  expect(directory.get('a')?.address).toBe('10.0.0.2:80')
})
