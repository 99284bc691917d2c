import { OwnerCluster } from './JaymillOwnerCluster.js'
import { ModelLine, modelLine } from './JaymillModelLine.js'
import { COST_SECONDS } from './constants.js'

const GROUP_SIZES = [3, 5, 7]
const MS_PER_SECOND = 1_000

/**
 * Measures the messages and CPU time that lease groups cost a host, without the transport.
 *
 * @returns Two lines for each group size.
 */
export function costReport (): ModelLine[] {
  return GROUP_SIZES.flatMap(size => {
    const cluster = new OwnerCluster(Array.from({ length: size }, (_, i) => `host-${i}`))
    const messages = cluster.messages
    const cpu = process.cpuUsage()
    cluster.run(COST_SECONDS * MS_PER_SECOND)
    const used = process.cpuUsage(cpu)
    const hostSeconds = size * COST_SECONDS
    return [
      modelLine(`cost.${size}-hosts.messages`, (cluster.messages - messages) / hostSeconds, 'messages/s per host'),
      modelLine(`cost.${size}-hosts.cpu`, (used.user + used.system) / hostSeconds, 'us/s per host')
    ]
  })
}
