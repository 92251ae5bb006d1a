// Bundles the stand-ins, which use the project's emulator of the platform.
import { build } from 'esbuild'

await build({
  entryPoints: ['review/stand-ins-2/platform.ts', 'review/stand-ins-2/gang-platform.ts', 'review/stand-ins-2/late-platform.ts'],
  outdir: 'target/review-2',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
})
