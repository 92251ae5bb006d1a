/**
 * A schema of lists in messages and records.
 */
import * as z from 'zod'

/**
 * Returns a schema of a list that reports only the first invalid item. A list of a hundred thousand invalid items would otherwise make as many
 * findings, which take more memory than a process has to spare.
 */
export function listOf<T> (item: z.ZodType<T>): z.ZodType<T[]> {
  return z.array(z.unknown()).transform((values, context): T[] => {
    const items: T[] = []
    for (const [index, value] of values.entries()) {
      const parsed = item.safeParse(value)
      if (!parsed.success) {
        const [issue] = parsed.error.issues
        context.addIssue({ code: 'custom', path: [index, ...issue?.path ?? []], message: issue?.message ?? 'invalid item' })
        return z.NEVER
      }
      items.push(parsed.data)
    }
    return items
  })
}
