/**
 * Prints response documents as tables or JSON.
 */
import Table from 'cli-table3'
import type * as z from 'zod'

/** A JSON value. */
type Json = z.core.util.JSONType

/** Prints a document: a list of items as a table, any other document with one row per field. */
export function printDocument (document: Readonly<Record<string, Json>>, isJson: boolean): void {
  if (isJson) {
    console.log(JSON.stringify(document))
    return
  }
  const items = document['items']
  if (Array.isArray(items)) printItems(items)
  else printFields(document)
}

function printItems (items: readonly Json[]): void {
  const rows = items.filter((item): item is Record<string, Json> => typeof item === 'object' && item !== null && !Array.isArray(item))
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const table = new Table({ head: columns, style: { head: [], border: [] } })
  for (const row of rows) table.push(columns.map(column => cellText(row[column])))
  console.log(rows.length === 0 ? 'none' : table.toString())
}

function printFields (document: Readonly<Record<string, Json>>): void {
  const table = new Table({ style: { head: [], border: [] } })
  for (const [name, value] of Object.entries(document)) table.push({ [name]: cellText(value) })
  console.log(table.toString())
}

function cellText (value: Json | undefined): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}
