/**
 * Location of the example deployment file.
 */
import { fileURLToPath } from 'node:url'

/** Path of the example deployment file, relative to the compiled benchmarks. */
export const DEPLOYMENT_PATH = fileURLToPath(new URL('../../examples/lone-star.toml', import.meta.url))
