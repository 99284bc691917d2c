import { readFileSync } from 'node:fs'

const SECTION = /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}/
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g

/** Fills the template of the deploy file as the platform's page tells. */
export function fillTemplate (template, fields) {
  const section = SECTION.exec(template)
  if (section === null) return template.replace(VALUE, (_all, path, json) => valueText(lookUp(path, fields), json !== undefined))
  const [whole, kind, path, content] = section
  const value = lookUp(path, fields)
  const present = value !== undefined && value !== null && value !== false
  const filled = kind === '#' ? (present ? repeated(content, value, fields) : '') : (present ? '' : fillTemplate(content, fields))
  return fillTemplate(template.slice(0, section.index), fields) + filled + fillTemplate(template.slice(section.index + whole.length), fields)
}

function repeated (content, value, fields) {
  const entries = Array.isArray(value) ? value : [value]
  return entries.map((entry, i) => {
    const text = content.replaceAll('{{,}}', i < entries.length - 1 ? ',' : '').replace(/\{\{\.(\|json)?\}\}/g, (_all, json) => valueText(entry, json !== undefined))
    return fillTemplate(text, { ...fields, ...(typeof entry === 'object' ? entry : {}) })
  }).join('')
}

function lookUp (path, fields) {
  return path.split('.').reduce((at, name) => at?.[name], fields)
}

function valueText (value, json) {
  if (value === undefined || value === null) return ''
  return json ? JSON.stringify(value) : String(value)
}

/** Reads the command and the template of the role from the deploy file. */
export function deployRole (root) {
  const text = readFileSync(`${root}/deploy/system.toml`, 'utf8')
  const field = name => new RegExp(`^${name} = "([^"]*)"`, 'm').exec(text)?.[1]
  return { command: field('run').split(' '), template: readFileSync(`${root}/${field('template')}`, 'utf8') }
}

/** Bounds of the small deployments (SYSTEM.md). */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stabilityMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configMs: 2000,
  rollbackSlackMs: 250,
  skewMaxMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetMinRetries: 54,
  recoveryS: 12,
  passMs: 120,
  againS: 7.9,
  requireFencing: true,
  leaseMs: 3000,
  thawMs: 300
}
