/**
 * Removes headers that concern one connection only and aren't forwarded (RFC 9110, section 7.6.1).
 */

/** Hop-by-hop headers, names in lower case. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/**
 * Returns the headers without hop-by-hop headers, those named by `Connection`, and additional ones.
 *
 * @param headers names in lower case.
 * @param alsoDropped names of additional headers to drop, in lower case.
 */
export function endToEndHeaders (
  headers: Readonly<Record<string, string | string[] | undefined>>,
  alsoDropped: ReadonlySet<string>
): Record<string, string | string[]> {
  const named = String(headers['connection'] ?? '').toLowerCase().split(',').map(name => name.trim())
  const result: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || alsoDropped.has(name) || named.includes(name)) continue
    result[name] = value
  }
  return result
}
