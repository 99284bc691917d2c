import { readFileSync } from 'node:fs'

const SECTION = /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}/
const VALUE = /\{\{([\w.]+|\.)(\|json)?\}\}/g

/**
 * Fills a settings template as DEPLOY.md describes it: values, JSON values, and sections.
 *
 * @param template - Text with placeholders.
 * @param fields - Fields by name.
 * @returns The text without placeholders.
 */
export function fillTemplate (template, fields) {
  const section = SECTION.exec(template)
  if (section === null) return template.replace(VALUE, (_all, path, json) => textOf(lookUp(path, fields), json !== undefined))
  const [whole, kind, path, content] = section
  const value = lookUp(path, fields)
  const present = value !== undefined && value !== null && value !== false
  const filled = kind === '^' ? (present ? '' : fillTemplate(content, fields)) : (present ? repeated(content, value, fields) : '')
  const rest = template.slice(section.index + whole.length)
  return fillTemplate(template.slice(0, section.index), fields) + filled + fillTemplate(rest, fields)
}

function repeated (content, value, fields) {
  const entries = Array.isArray(value) ? value : [value]
  return entries.map((entry, i) => {
    const separated = content.replaceAll('{{,}}', i < entries.length - 1 ? ',' : '')
    const own = typeof entry === 'object' ? entry : {}
    return fillTemplate(separated, { ...fields, ...own, '.': entry })
  }).join('')
}

function lookUp (path, fields) {
  if (path === '.') return fields['.']
  return path.split('.').reduce((at, name) => at?.[name], fields)
}

function textOf (value, json) {
  if (value === undefined || value === null) return ''
  return json ? JSON.stringify(value) : String(value)
}

/**
 * Reads the command and the template of the only role of a deploy file.
 *
 * @param file - Path of the deploy file.
 * @returns Program, arguments and template path.
 */
export function readDeployFile (file) {
  const text = readFileSync(file, 'utf8')
  const valueOf = name => new RegExp(`^${name} = "([^"]*)"`, 'm').exec(text)?.[1] ?? ''
  const [program, ...args] = valueOf('run').split(' ')
  return { program, args, template: valueOf('template') }
}
