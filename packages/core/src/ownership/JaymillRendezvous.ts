import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** A candidate for the owner of a key. */
export interface RendezvousNode {
  readonly id: string
  /** Relative share of keys; greater than 0. */
  readonly weight: number
}

const TWO_POW_53 = 2 ** 53

/**
 * Scores one node for a key (weighted rendezvous hashing, logarithmic method).
 *
 * @param key - Key to place.
 * @param node - Candidate.
 * @returns The score; the largest wins.
 */
export function rendezvousScore (key: string, node: RendezvousNode): number {
  const hash = hasher.h64(`${key.length}:${key}/${node.id}`) >> 11n
  const uniform = (Number(hash) + 0.5) / TWO_POW_53
  return node.weight / -Math.log(uniform)
}

/**
 * Orders nodes by their score for a key.
 *
 * @param key - Key to place.
 * @param nodes - Candidates in any order.
 * @returns Nodes from the largest score to the smallest.
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
 * @param key - Key to place.
 * @param nodes - Candidates in any order.
 * @returns The owner, or `undefined` without candidates.
 */
export function rendezvousOwner<Node extends RendezvousNode> (key: string, nodes: readonly Node[]): Node | undefined {
  return rendezvousOrder(key, nodes)[0]
}

/**
 * Mixes the bits of a hash with the 32-bit finalizer of MurmurHash3 (Austin Appleby, public domain).
 *
 * @param hash - Hash to mix.
 * @returns The mixed hash.
 */
function mix32 (hash: number): number {
  const first = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35)
  return (second ^ (second >>> 16)) >>> 0
}

const TWO_POW_32 = 2 ** 32

/** Nodes with precomputed hashes of their ids, for placing many keys on many nodes. */
export class RendezvousIndex<Node extends RendezvousNode> {
  private readonly _nodes: readonly Node[]
  private readonly _hashes: Uint32Array

  /**
   * @param nodes - Candidates.
   */
  constructor (nodes: readonly Node[]) {
    this._nodes = nodes
    this._hashes = Uint32Array.from(nodes, ({ id }) => hasher.h32(id))
  }

  /**
   * Scores every node for a key.
   *
   * @param key - Key to place.
   * @param weightOf - Weight of a node for the key; greater than 0.
   * @returns Scores in the order of the nodes; the largest wins.
   */
  scores (key: string, weightOf: (node: Node) => number): Float64Array {
    const keyHash = hasher.h32(key)
    const scores = new Float64Array(this._nodes.length)
    this._nodes.forEach((node, i) => {
      const uniform = (mix32(keyHash ^ (this._hashes[i] ?? 0)) + 0.5) / TWO_POW_32
      scores[i] = weightOf(node) / -Math.log(uniform)
    })
    return scores
  }

  /**
   * Chooses the node with the largest score.
   *
   * @param scores - Scores of a key.
   * @param accepts - Selects the nodes to choose from.
   * @returns The accepted node with the largest score, or `undefined` when none is accepted.
   */
  best (scores: Float64Array, accepts: (node: Node) => boolean): Node | undefined {
    let winner: Node | undefined
    let highest = -Infinity
    this._nodes.forEach((node, i) => {
      const score = scores[i] ?? 0
      if (score <= highest || !accepts(node)) return
      winner = node
      highest = score
    })
    return winner
  }
}
