import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** A candidate of a rendezvous choice. */
export interface RendezvousNode {
  readonly id: string
  /** Relative share of keys; greater than 0. */
  readonly weight: number
}

const TWO_POW_53 = 2 ** 53

/**
 * Scores one node for a key (weighted rendezvous hashing, logarithmic method).
 *
 * @param key - Key to be placed.
 * @param node - Candidate.
 * @returns The score; the largest wins.
 */
export function rendezvousScore (key: string, node: RendezvousNode): number {
  const hash = hasher.h64(`${key.length}:${key}/${node.id}`) >> 11n
  const uniform = (Number(hash) + 0.5) / TWO_POW_53
  return node.weight / -Math.log(uniform)
}

/**
 * Orders nodes by their claim to a key.
 *
 * @param key - Key to be placed.
 * @param nodes - Candidates in any order.
 * @returns Nodes from the strongest claim to the weakest.
 */
export function rendezvousOrder<Node extends RendezvousNode> (key: string, nodes: readonly Node[]): Node[] {
  return nodes
    .map(node => ({ node, score: rendezvousScore(key, node) }))
    .sort((a, b) => b.score - a.score || (a.node.id < b.node.id ? -1 : 1))
    .map(({ node }) => node)
}

/**
 * Chooses the owner of a key.
 *
 * @param key - Key to be placed.
 * @param nodes - Candidates in any order.
 * @returns The owner, or `undefined` without candidates.
 */
export function rendezvousOwner<Node extends RendezvousNode> (key: string, nodes: readonly Node[]): Node | undefined {
  return rendezvousOrder(key, nodes)[0]
}
