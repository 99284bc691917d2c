/**
 * @param service - A service.
 * @returns Name of the latency group of prefills at its prefill engines.
 */
export function prefillGroup (service: string): string {
  return `${service}/prefill`
}

/**
 * @param service - A service.
 * @returns Name of the latency group of prefills at its decode engines.
 */
export function directPrefillGroup (service: string): string {
  return `${service}/direct`
}
