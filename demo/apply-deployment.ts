/**
 * Applies a deployment file with the operators' command-line program: `node apply-deployment.js FILE PORT... TOKEN`,
 * with the ports of the control daemons' administration interfaces.
 */
import { CommandLine } from '../src/command-line/command-line.js'

const [file = '', ...rest] = process.argv.slice(2)
const token = rest.at(-1) ?? ''
const servers = rest.slice(0, -1).flatMap(port => ['--server', `http://127.0.0.1:${port}`])
process.exitCode = await new CommandLine({ SAMPHIREGLADE_TOKEN: token }).run(['apply', file, '--wait', '--json', ...servers])
