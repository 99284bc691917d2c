import { RouteClass } from './JaymillFleetConfig.js'

/** Classes from the most urgent to the least. */
export const ROUTE_CLASSES: readonly RouteClass[] = Object.values(RouteClass)

/**
 * @param routeClass - Class of a route.
 * @returns Its priority; lower is more urgent.
 */
export function routePriority (routeClass: RouteClass): number {
  return ROUTE_CLASSES.indexOf(routeClass)
}
