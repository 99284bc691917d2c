import xxhash from 'xxhash-wasm'

const hasher = await xxhash()
const CONTEXT_CHARS = 48

const WORDS: readonly string[] = [
  'front', 'points', 'worn', 'by', 'two', 'millimetres', 'secondary', 'row', 'even', 'grind', 'edge', 'at', 'thirty',
  'degrees', 'check', 'rivet', 'left', 'heel', 'bail', 'sound', 'temper', 'intact', 'no', 'cracks', 'seen', 'verdict',
  'serviceable', 'replace', 'strap', 'before', 'glacier', 'use', 'cover', 'warranty', 'applies', 'polish', 'burrs'
]

/**
 * Picks the next word after a text. The same text always gives the same word, so a response that continues on another
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
 * Computes the complete response to a prompt.
 *
 * @param prompt - Prompt.
 * @param tokens - Number of words to generate.
 * @returns The text of the response.
 */
export function expectedCompletion (prompt: string, tokens: number): string {
  return Array.from({ length: tokens }).reduce<string>(completion => completion + nextToken(prompt + completion), '')
}
