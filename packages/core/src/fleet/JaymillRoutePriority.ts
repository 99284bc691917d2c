import { RouteClass } from './JaymillFleetConfig.js'

/** Route classes, the most urgent first. */
export const ROUTE_CLASSES: readonly RouteClass[] = Object.values(RouteClass)

/**
 * Returns the priority of a route class.
 *
 * @param routeClass - Class of a route.
 * @returns Its priority; lower is more urgent.
 */
export function routePriority (routeClass: RouteClass): number {
  return ROUTE_CLASSES.indexOf(routeClass)
}
