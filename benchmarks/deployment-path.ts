/**
 * The example deployment.
 */
import { fileURLToPath } from 'node:url'

/** Path of the deployment file, from the compiled benchmarks. */
export const DEPLOYMENT = fileURLToPath(new URL('../../examples/lone-star.toml', import.meta.url))
