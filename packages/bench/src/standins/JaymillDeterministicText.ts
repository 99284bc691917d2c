import xxhash from 'xxhash-wasm'

const hasher = await xxhash()
const CONTEXT_CHARS = 48

const WORDS: readonly string[] = [
  'front', 'points', 'worn', 'by', 'two', 'millimetres', 'secondary', 'row', 'even', 'grind', 'edge', 'at', 'thirty',
  'degrees', 'check', 'rivet', 'left', 'heel', 'bail', 'sound', 'temper', 'intact', 'no', 'cracks', 'seen', 'verdict',
  'serviceable', 'replace', 'strap', 'before', 'glacier', 'use', 'cover', 'warranty', 'applies', 'polish', 'burrs'
]

/**
 * Picks the next word after a text; the same text always gives the same word, so an answer that goes on at another
 * engine can be checked word by word.
 *
 * @param text - Prompt and everything generated so far.
 * @returns The word with a space before it.
 */
export function nextToken (text: string): string {
  const hash = hasher.h32(`${text.length}:${text.slice(-CONTEXT_CHARS)}`)
  return ` ${WORDS[hash % WORDS.length] ?? ''}`
}

/**
 * Computes the whole answer to a prompt.
 *
 * @param prompt - Prompt.
 * @param tokens - Words to be generated.
 * @returns The answer.
 */
export function expectedAnswer (prompt: string, tokens: number): string {
  return Array.from({ length: tokens }).reduce<string>(answer => answer + nextToken(prompt + answer), '')
}
