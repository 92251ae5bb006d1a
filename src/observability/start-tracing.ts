/**
 * Sets up tracing with OpenTelemetry.
 */
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BatchSpanProcessor, NodeTracerProvider } from '@opentelemetry/sdk-trace-node'

/**
 * Starts to export spans to a collector over OTLP/HTTP.
 *
 * @param endpoint URL of the collector.
 * @param process name of the process, used as service instance ID.
 * @returns a function that exports the remaining spans and shuts the exporter down.
 */
export function startTracing (endpoint: string, process: string): () => Promise<void> {
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({ 'service.name': 'samphireglade', 'service.instance.id': process }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url: endpoint }))]
  })
  provider.register({ propagator: new W3CTraceContextPropagator() })
  return () => provider.shutdown()
}
