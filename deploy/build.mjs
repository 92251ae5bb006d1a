// Bundles the node daemon, so that it starts without resolving hundreds of modules.
import { build } from 'esbuild'

await build({
  entryPoints: ['src/main/samphireglade-node.ts'],
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: true,
  // Bundled CommonJS packages call `require`, which ES modules don't define.
  banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
})
