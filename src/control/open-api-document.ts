/**
 * The OpenAPI document of the administration interface.
 */
import * as z from 'zod'
import { Problem } from '../schemas/problem.js'
import type { AdministrationRoute } from './administration-route.js'

/** Version of the interface. */
const INTERFACE_VERSION = '1.0.0'

/** Generates the document from the routes and the schemas that they validate with, so that it always agrees with them. */
export function openApiDocument (routes: readonly AdministrationRoute[]): object {
  const paths: Record<string, Record<string, object>> = {}
  for (const route of routes) {
    const path = `/admin/v1${route.path.replace(/:([a-z]+)/g, '{$1}')}`
    paths[path] = { ...paths[path], [route.method.toLowerCase()]: operation(route) }
  }
  return {
    openapi: '3.1.0',
    info: { title: 'samphireglade administration', version: INTERFACE_VERSION },
    components: {
      securitySchemes: { operator: { type: 'http', scheme: 'bearer' } },
      schemas: { Problem: z.toJSONSchema(Problem, { io: 'input' }) }
    },
    security: [{ operator: [] }],
    paths
  }
}

function operation (route: AdministrationRoute): object {
  const parameters = [...route.path.matchAll(/:([a-z]+)/g)].map(([, name]) => ({ name, in: 'path', required: true, schema: { type: 'string' } }))
  const problem = { description: 'problem', content: { 'application/problem+json': { schema: { $ref: '#/components/schemas/Problem' } } } }
  const body = route.documentSchema
    ? { requestBody: { content: { 'application/json': { schema: z.toJSONSchema(route.documentSchema, { io: 'input' }) } } } }
    : {}
  return {
    summary: route.summary,
    parameters,
    ...body,
    responses: { 200: { description: 'accepted, or what was asked for' }, 202: { description: 'not yet decided; ask changes/{id}' }, default: problem }
  }
}
