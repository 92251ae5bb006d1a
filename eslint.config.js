import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['target/**', 'dist/**', 'coverage/**'] }),
  {
    rules: {
      'no-console': 'error',
      // A schema and the type inferred from it share one name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off',
      'no-void': 'off'
    }
  },
  {
    files: ['src/command-line/**', 'demo/**', 'benchmarks/**', 'stand-ins/**', '.ci/**'],
    rules: { 'no-console': 'off' }
  }
]
