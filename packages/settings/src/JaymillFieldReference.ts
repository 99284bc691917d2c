import * as z from 'zod'
import type { ValuePath } from './JaymillDocument.js'

/** One field of a document, as the configuration reference lists it. */
export interface FieldReference {
  /** Path with `[]` for each array, such as `pools[].endpoints[].url`. */
  readonly path: string
  readonly description: string
  readonly type: string
  readonly unit: string
  /** Default as JSON; absent when the field has none. */
  readonly defaultText?: string
  readonly required: boolean
}

interface FieldSchema {
  readonly type?: string
  readonly description?: string
  readonly unit?: string
  readonly default?: unknown
  readonly const?: unknown
  readonly enum?: readonly unknown[]
  readonly properties?: Readonly<Record<string, FieldSchema>>
  readonly required?: readonly string[]
  readonly items?: FieldSchema
  readonly oneOf?: readonly FieldSchema[]
  readonly anyOf?: readonly FieldSchema[]
}

const jsonSchemas = new WeakMap<z.ZodType, FieldSchema>()

/**
 * Lists the keys that the schema allows at a path.
 *
 * @param schema - Schema of the document.
 * @param path - Path of an object.
 * @param value - The document; its `kind` fields select between variants.
 * @returns The allowed keys.
 */
export function allowedKeysAt (schema: z.ZodType, path: ValuePath, value: unknown): string[] {
  const objectSchema = schemaAt(jsonSchemaOf(schema), path, value)
  return Object.keys(objectSchema?.properties ?? {})
}

/**
 * Lists every field of a document.
 *
 * @param schema - Schema of the document.
 * @returns Fields in schema order; the fields of all variants are included.
 */
export function fieldReference (schema: z.ZodType): FieldReference[] {
  return fieldsOf(jsonSchemaOf(schema), '')
}

function jsonSchemaOf (schema: z.ZodType): FieldSchema {
  const cached = jsonSchemas.get(schema)
  if (cached !== undefined) return cached
  const converted = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any', reused: 'inline' }) as FieldSchema
  jsonSchemas.set(schema, converted)
  return converted
}

function schemaAt (schema: FieldSchema | undefined, path: ValuePath, value: unknown): FieldSchema | undefined {
  if (schema === undefined) return undefined
  const selected = chooseVariant(schema, value)
  const [part, ...rest] = path
  if (part === undefined) return selected
  const child = typeof part === 'number' ? selected.items : selected.properties?.[part]
  return schemaAt(child, rest, (value as Record<string, unknown> | undefined)?.[part])
}

function chooseVariant (schema: FieldSchema, value: unknown): FieldSchema {
  const kind = (value as { kind?: unknown } | undefined | null)?.kind
  return variantsOf(schema).find(variant => variant.properties?.kind?.const === kind) ?? schema
}

function variantsOf (schema: FieldSchema): readonly FieldSchema[] {
  return schema.oneOf ?? schema.anyOf ?? []
}

function fieldsOf (schema: FieldSchema, prefix: string): FieldReference[] {
  if (schema.items !== undefined) return fieldsOf(schema.items, `${prefix}[]`)
  const ownFields = Object.entries(schema.properties ?? {}).flatMap(([key, field]) => {
    const path = prefix === '' ? key : `${prefix}.${key}`
    const required = schema.required?.includes(key) ?? false
    return [referenceOf(field, path, required), ...fieldsOf(field, path)]
  })
  return [...ownFields, ...variantsOf(schema).flatMap(variant => fieldsOf(variant, prefix))]
}

function referenceOf (field: FieldSchema, path: string, required: boolean): FieldReference {
  const options = field.enum ?? (field.const === undefined ? undefined : [field.const])
  return {
    path,
    description: field.description ?? '',
    type: options === undefined ? field.type ?? 'object' : options.map(option => JSON.stringify(option)).join(' or '),
    unit: field.unit ?? '',
    ...(field.default === undefined ? {} : { defaultText: JSON.stringify(field.default) }),
    required
  }
}
