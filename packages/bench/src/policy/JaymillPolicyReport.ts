import { percentile, RunFigures, WasteCause } from './JaymillPolicyFigures.js'
import type { PolicyScenario } from './JaymillPolicyScenario.js'
import { INTER_TOKEN_TARGET_MS, TARGET_SHARE, TTFT_TARGET_MS } from './JaymillPolicySite.js'

/** One figure, printed as a line. */
export interface FigureLine {
  readonly name: string
  readonly value: number
  readonly unit: string
  /** Largest allowed value; `null` for a figure without a target. */
  readonly bound: number | null
  /** Value of the baseline; `null` for a figure without one. */
  readonly baseline: number | null
  readonly ok: boolean
}

/** Figures of a baseline policy. */
export interface BaselineFigures {
  readonly name: string
  readonly figures: RunFigures
}

const DECIMALS = 3

/**
 * Rounds a figure and checks it against its bound.
 *
 * @param name - Site, scenario and figure.
 * @param value - Unrounded value.
 * @param unit - Unit of the value.
 * @param bound - Largest allowed value, or `null`.
 * @param baseline - Value of the baseline, or `null`.
 * @returns The line.
 */
export function figureLine (
  name: string, value: number, unit: string, bound: number | null, baseline: number | null
): FigureLine {
  const rounded = Number(value.toFixed(DECIMALS))
  const roundedBaseline = baseline === null ? null : Number(baseline.toFixed(DECIMALS))
  return { name, value: rounded, unit, bound, baseline: roundedBaseline, ok: bound === null || value <= bound }
}

/**
 * Reports one scenario at one site.
 *
 * @param prefix - Site and scenario.
 * @param scenario - Scenario that was run.
 * @param defaultFigures - Figures of the default policy.
 * @param baselines - Figures of the baseline policies.
 * @returns One line for each figure.
 */
export function reportLines (
  prefix: string, scenario: PolicyScenario, defaultFigures: RunFigures, baselines: readonly BaselineFigures[]
): readonly FigureLine[] {
  const best = [...baselines].sort((a, b) => b.figures.goodputPerSecond - a.figures.goodputPerSecond)[0]?.figures
  const line = (name: string, unit: string, bound: number | null, valueOf: (figures: RunFigures) => number): FigureLine =>
    figureLine(`${prefix}/${name}`, valueOf(defaultFigures), unit, bound, best === undefined ? null : valueOf(best))
  const faultFreeBound = scenario.faultFree ? 0 : null
  const ttftBound = scenario.rated ? TTFT_TARGET_MS : null
  const interTokenBound = scenario.rated ? INTER_TOKEN_TARGET_MS : null
  return [
    line('goodput', 'requests/s', null, figures => figures.goodputPerSecond),
    figureLine(`${prefix}/goodput-ratio`, defaultFigures.goodputPerSecond / (best?.goodputPerSecond ?? 1), 'ratio', null, 1),
    ...baselines.map(({ name, figures }) =>
      figureLine(`${prefix}/goodput-of-${name}`, figures.goodputPerSecond, 'requests/s', null, null)),
    ...baselines.map(({ name, figures }) =>
      figureLine(`${prefix}/prefill-wasted-of-${name}`, wastedShare(figures, WasteCause.Policy), 'share', null, null)),
    ...baselines.map(({ name, figures }) =>
      figureLine(`${prefix}/slots-overrun-of-${name}`, figures.overruns, 'requests', null, null)),
    line('prefill-wasted-by-router', 'share', faultFreeBound, figures => wastedShare(figures, WasteCause.Policy)),
    line('prefill-wasted-by-faults', 'share', null, figures => wastedShare(figures, WasteCause.Fault)),
    line('prefill-wasted-by-callers', 'share', null, figures => wastedShare(figures, WasteCause.Caller)),
    line('ttft-p50', 'ms', null, figures => percentile(figures.ttftMs, 0.5)),
    line('ttft-p95', 'ms', ttftBound, figures => percentile(figures.ttftMs, TARGET_SHARE)),
    line('ttft-p99', 'ms', null, figures => percentile(figures.ttftMs, 0.99)),
    line('inter-token-p50', 'ms', null, figures => percentile(figures.interTokenMs, 0.5)),
    line('inter-token-p95', 'ms', interTokenBound, figures => percentile(figures.interTokenMs, TARGET_SHARE)),
    line('inter-token-p99', 'ms', null, figures => percentile(figures.interTokenMs, 0.99)),
    line('refused', 'share', null, figures => figures.refused / Math.max(1, figures.offered)),
    line('lost-with-host', 'requests', faultFreeBound, figures => figures.lost),
    line('unfinished', 'requests', faultFreeBound, figures => figures.unfinished),
    line('slots-overrun', 'requests', 0, figures => figures.overruns),
    line('held-5s-after-caller-gone', 'requests', 0, figures => figures.heldTooLong),
    line('fairness', 'jain-index', null, figures => figures.fairness),
    line('refused-of-light-accounts', 'share', null, figures => figures.lightRefusedShare),
    ...baselines.filter(({ name }) => name === 'owner-fifo').flatMap(({ name, figures }) => [
      figureLine(`${prefix}/fairness-of-${name}`, figures.fairness, 'jain-index', null, null),
      figureLine(`${prefix}/refused-of-light-accounts-of-${name}`, figures.lightRefusedShare, 'share', null, null)
    ])
  ]
}

function wastedShare (figures: RunFigures, cause: WasteCause): number {
  return figures.wastedTokens[cause] / Math.max(1, figures.prefillTokens)
}
