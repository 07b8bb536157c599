package node

import (
	"log/slog"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/logging"
)

const (
	statusLogInterval = 5 * time.Second // interval between the status lines
	memoryLogInterval = time.Second     // shortest interval between two lines memory_high

	// highMemoryDivisor: memory_high is logged when less than the runtime's limit divided by this is free.
	highMemoryDivisor = 8
)

// CustomerCounter is implemented by a Decider that counts its records of customers.
type CustomerCounter interface {
	// CustomerCount returns the number of records of customers.
	CustomerCount() int
}

// status holds what the status lines report about attempts, and when they were logged.
type status struct {
	loggedAt       gateway.Time             // time of the latest status lines
	memoryLoggedAt gateway.Time             // time of the latest line memory_high
	memoryLimit    uint64                   // of the Go runtime, in bytes
	attempts       [gateway.ResultCount]int // ended attempts of requests, by result
	retries        int                      // attempts after the first of a request
	samples        [memoryMetrics]metrics.Sample
}

// Indexes of status.samples.
const (
	metricTotal = iota // memory of the Go runtime that is not returned to the system
	metricReleased
	metricHeap // objects, those not collected yet included
	memoryMetrics
)

// newStatus returns a status of which nothing was logged.
func newStatus() status {
	s := status{memoryLimit: uint64(debug.SetMemoryLimit(-1))} // a negative limit changes nothing
	s.samples[metricTotal].Name = "/memory/classes/total:bytes"
	s.samples[metricReleased].Name = "/memory/classes/heap/released:bytes"
	s.samples[metricHeap].Name = "/memory/classes/heap/objects:bytes"
	return s
}

// runtimeMemory returns the bytes that the Go runtime holds, and those of them that are objects on the heap.
func (s *status) runtimeMemory() (total, heap uint64) {
	metrics.Read(s.samples[:])
	total = s.samples[metricTotal].Value.Uint64() - s.samples[metricReleased].Value.Uint64()
	return total, s.samples[metricHeap].Value.Uint64()
}

// logStatus logs the status lines if they are due, and memory_high if the runtime's memory is near its limit.
func (n *Node) logStatus(now gateway.Time) {
	total, heap := n.status.runtimeMemory()
	limit := n.status.memoryLimit
	isHigh := total > limit-limit/highMemoryDivisor
	if isHigh && now.Sub(n.status.memoryLoggedAt) >= memoryLogInterval {
		n.status.memoryLoggedAt = now
		slog.Warn("memory_high", n.memoryFields(total, heap)...)
	}
	if now.Sub(n.status.loggedAt) < statusLogInterval {
		return
	}
	n.status.loggedAt = now
	if counter, counts := n.module.(DecisionCounter); counts {
		logDecisions(counter.DecisionCounts())
	}
	slog.Info("memory", n.memoryFields(total, heap)...)
	slog.Info("connections", n.connectionFields()...)
	slog.Info("attempts", n.attemptFields()...)
}

// logDecisions logs how many decisions of each outcome the module has made since the start.
func logDecisions(counts []gateway.DecisionCount) {
	fields := make([]any, 0, len(counts))
	for _, count := range counts {
		fields = append(fields, slog.Int(count.Outcome, count.Count))
	}
	slog.Info("decisions", fields...)
}

// memoryFields returns what is known about the use of memory, in bytes.
func (n *Node) memoryFields(total, heap uint64) []any {
	customers := 0
	if counter, counts := n.module.(CustomerCounter); counts {
		customers = counter.CustomerCount()
	}
	answers, commands := n.clients.MemoryUse()
	return []any{
		slog.Uint64("runtime_total", total),
		slog.Uint64("heap", heap),
		slog.Uint64("runtime_limit", n.status.memoryLimit),
		slog.Int("answers", answers),
		slog.Int("commands", commands),
		slog.Int("requests", len(n.requests)),
		slog.Int("customers", customers),
	}
}

// connectionFields returns the numbers of connections: open ones, and clients' by how they ended since the start.
func (n *Node) connectionFields() []any {
	stats := n.clients.Stats()
	return []any{
		slog.Int("clients", stats.Open),
		slog.Int("hosts", n.transport.ConnCount()),
		slog.Int("accepted", stats.Accepted),
		slog.Int("client_left", stats.Ended[clients.ClientLeft]),
		slog.Int("malformed", stats.Ended[clients.Malformed]),
		slog.Int("command_timeout", stats.Ended[clients.CommandTimeout]),
		slog.Int("slow_reader", stats.Ended[clients.SlowReader]),
		slog.Int("idle", stats.Ended[clients.Idle]),
		slog.Int("evicted", stats.Ended[clients.Evicted]),
		slog.Int("write_failed", stats.Ended[clients.WriteFailed]),
		slog.Int("drained", stats.Ended[clients.Drained]),
	}
}

// attemptFields returns the numbers of attempts since the start: retries, and all attempts by result.
func (n *Node) attemptFields() []any {
	count := func(result gateway.Result) int { return n.status.attempts[result] }
	return []any{
		slog.Int("retries", n.status.retries),
		slog.Int("succeeded", count(gateway.Succeeded)),
		slog.Int("errored", count(gateway.Errored)),
		slog.Int("busy", count(gateway.Busy)),
		slog.Int("timed_out", count(gateway.TimedOut)),
		slog.Int("unreachable", count(gateway.Unreachable)),
		slog.Int("disconnected", count(gateway.Disconnected)),
		slog.Int("malformed", count(gateway.Malformed)),
		slog.Int("canceled", count(gateway.Canceled)),
		slog.Int("not_sent", count(gateway.NotSent)),
		slog.Int("throttled", count(gateway.Throttled)),
	}
}

// countAttempt counts the end of an attempt of a request.
func (n *Node) countAttempt(event *gateway.Event) {
	n.status.attempts[event.Result]++
	if event.Attempt > 0 {
		n.status.retries++
	}
	if logging.DebugEnabled() {
		slog.Debug("attempt_ended",
			"id", event.RequestID,
			"attempt", event.Attempt,
			"host", event.Host,
			"result", event.Result.Name(),
			"latency", event.Latency,
			"closed", event.Closed,
		)
	}
}

// logEnd logs the final answer of a request: a rejection with the time after which to retry, or a failure.
func (r *request) logEnd(answer string, retryAfter time.Duration) {
	if logging.DebugEnabled() {
		slog.Debug("request_ended",
			"id", r.id,
			"answer", answer,
			"retry_after", retryAfter,
			"attempts", len(r.attempts),
		)
	}
}
