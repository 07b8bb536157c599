package scale

import (
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"
)

const (
	gcPercent           = 100 // the program's 400 would need five times the live heap of all gateways
	nanosPerMillisecond = 1e6
	nanosPerMicrosecond = 1e3
)

// Metric describes a figure of a gateway.
type Metric struct {
	Name        string `json:"name"`
	Unit        string `json:"unit"`
	Description string `json:"what"`

	// Counted says that the figure is a count or a number of bytes. Such a figure is the same in every run on any
	// machine, except for the last few kilobytes of the live heap. Other figures are processor times.
	Counted bool `json:"counted"`
}

// Names of metrics. A prefix names the measurement window: Rest is before the first request, so that the gateway has no
// record of a customer; Known is without requests, but with a record of every customer; Load is with requests and
// changes at the rates of the deployment.
const (
	LiveHeap             = "live_heap"
	StartCPU             = "start_processor"
	StartAllocated       = "start_allocated"
	RestMessages         = "rest_messages_out"
	RestBytes            = "rest_bytes_out"
	RestCPU              = "rest_processor"
	KnownMessages        = "known_messages_out"
	KnownBytes           = "known_bytes_out"
	KnownCPU             = "known_processor"
	LoadMessages         = "load_messages_out"
	LoadBytes            = "load_bytes_out"
	LoadMessagesIn       = "load_messages_in"
	LoadBytesIn          = "load_bytes_in"
	LoadCPU              = "load_processor"
	LoadAllocated        = "load_allocated"
	TimerCPU             = "tick_processor"
	MessageCPU           = "message_processor"
	RequestCPU           = "request_processor"
	HostListCPU          = "membership_processor"
	ConfigurationCPU     = "configuration_processor"
	ConfigurationBytesIn = "configuration_bytes_in"
	DecisionP50          = "decision_p50"
	DecisionP99          = "decision_p99"
	CustomersKnown       = "customers_known"
	RejectedFraction     = "rejected"
)

// Metrics returns all metrics in the order of the report.
func Metrics() []Metric {
	return []Metric{
		{LiveHeap, "bytes", "live heap after a collection, at the end", true},
		{StartCPU, "s", "processor time from configuration file to end of the first host list, least of the starts", false},
		{StartAllocated, "bytes", "allocated during the start", true},
		{RestMessages, "1/s", "messages sent at rest, with no customer known", true},
		{RestBytes, "bytes/s", "bytes of these messages", true},
		{RestCPU, "core", "processor time at rest", false},
		{KnownMessages, "1/s", "messages sent with all customers known and no request", true},
		{KnownBytes, "bytes/s", "bytes of these messages", true},
		{KnownCPU, "core", "processor time with all customers known and no request", false},
		{LoadMessages, "1/s", "messages sent under load", true},
		{LoadBytes, "bytes/s", "bytes of these messages", true},
		{LoadMessagesIn, "1/s", "messages received under load", true},
		{LoadBytesIn, "bytes/s", "bytes of these messages", true},
		{LoadCPU, "core", "processor time under load", false},
		{LoadAllocated, "bytes/s", "allocated under load, including by the simulation itself", true},
		{TimerCPU, "us", "processor time of a timer event, mean under load", false},
		{MessageCPU, "us", "processor time of a message received, mean under load", false},
		{RequestCPU, "us", "processor time of a request and its answer, mean", false},
		{HostListCPU, "us", "processor time of a change of the host list, mean", false},
		{ConfigurationCPU, "us", "processor time of a change of the configuration, mean", false},
		{ConfigurationBytesIn, "bytes/s", "versions of the configuration received, without heartbeats", true},
		{DecisionP50, "us", "from arrival of a request to its decision, with the wait for other work, median", false},
		{DecisionP99, "us", "the same, 99th percentile", false},
		{CustomersKnown, "", "customers of which a gateway has a record, mean", true},
		{RejectedFraction, "", "fraction of the requests under load that the gateway rejected or failed", true},
	}
}

// Figures holds the figures of a point by metric name. A figure that was not measured is absent.
type Figures map[string]float64

// keepMin replaces each processor time by that of another measurement of the same size if that is lower.
func (f Figures) keepMin(other Figures) {
	for _, metric := range Metrics() {
		if figure, measured := other[metric.Name]; measured && !metric.Counted {
			f[metric.Name] = min(f[metric.Name], figure)
		}
	}
}

// Durations are the lengths of the phases of a measurement, in simulated time.
type Durations struct {
	Settle time.Duration // wait before the windows without load and at the end
	Idle   time.Duration // each window without load
	Load   time.Duration // the window under load
}

// Measure simulates a deployment and returns the figures of one gateway. They are means over all gateways unless the
// description of the metric says otherwise.
func Measure(d Deployment, durations Durations, options Options) (figures Figures, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	if options.Directory, err = os.MkdirTemp("", "scale-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(options.Directory)
	parts, err := d.encodeParts()
	if err != nil {
		return nil, err
	}
	heapBefore, allocatedBefore := collectedHeap()
	s, err := NewSimulation(d, parts, options)
	if err != nil {
		return nil, err
	}
	_, allocated := collectedHeap()
	figures = Figures{StartCPU: s.CPU.Min(WorkStart).Seconds(),
		StartAllocated: float64(allocated-allocatedBefore) / float64(d.Gateways)}
	if err := s.measurePhases(figures, durations); err != nil {
		return nil, err
	}
	s.CPU.Reset()
	s.Latencies = nil
	heapAfter, _ := collectedHeap()
	figures[LiveHeap] = (float64(heapAfter) - float64(heapBefore)) / float64(d.Gateways)
	for _, h := range s.gateways {
		figures[CustomersKnown] += float64(h.CustomerCount()) / float64(d.Gateways)
	}
	return figures, nil
}

// measurePhases measures the gateways at rest, with customers known, and under load.
func (s *Simulation) measurePhases(figures Figures, durations Durations) error {
	if err := s.Run(durations.Settle); err != nil {
		return err
	}
	rest, err := s.measureWindow(durations.Idle)
	if err != nil {
		return err
	}
	figures[RestMessages] = rest.messagesOut
	figures[RestBytes] = rest.bytesOut
	figures[RestCPU] = rest.cpu
	if s.Customers > 0 {
		if err := s.Run(s.SeedCustomers() + durations.Settle); err != nil {
			return err
		}
		known, err := s.measureWindow(durations.Idle)
		if err != nil {
			return err
		}
		figures[KnownMessages] = known.messagesOut
		figures[KnownBytes] = known.bytesOut
		figures[KnownCPU] = known.cpu
	}
	s.StartLoad(durations.Load)
	load, err := s.measureWindow(durations.Load)
	if err != nil {
		return err
	}
	s.addLoadFigures(figures, load)
	return s.Run(durations.Settle)
}

// addLoadFigures adds the figures of the window under load. Figures of events that did not occur stay absent.
func (s *Simulation) addLoadFigures(figures Figures, load windowFigures) {
	figures[LoadMessages] = load.messagesOut
	figures[LoadBytes] = load.bytesOut
	figures[LoadMessagesIn] = load.messagesIn
	figures[LoadBytesIn] = load.bytesIn
	figures[LoadCPU] = load.cpu
	figures[LoadAllocated] = load.allocated
	figures[TimerCPU] = s.CPU.Mean(WorkTimer) / nanosPerMicrosecond
	figures[MessageCPU] = s.CPU.Mean(WorkMessage) / nanosPerMicrosecond
	if _, changes := s.CPU.Total(WorkHostList); changes > 0 {
		figures[HostListCPU] = s.CPU.Mean(WorkHostList) / nanosPerMicrosecond
	}
	if _, changes := s.CPU.Total(WorkConfiguration); changes > 0 {
		figures[ConfigurationCPU] = s.CPU.Mean(WorkConfiguration) / nanosPerMicrosecond
		figures[ConfigurationBytesIn] = load.configurationIn
	}
	if _, requests := s.CPU.Total(WorkRequest); requests > 0 {
		figures[RequestCPU] = float64(s.CPU.Sum(WorkRequest, WorkAnswer)) / float64(requests) / nanosPerMicrosecond
		figures[RejectedFraction] = float64(s.Rejected) / float64(requests)
		figures[DecisionP50] = quantile(s.Latencies, 0.5) / nanosPerMicrosecond
		figures[DecisionP99] = quantile(s.Latencies, 0.99) / nanosPerMicrosecond
	}
}

// windowFigures holds what happened in a measurement window: per gateway and second.
type windowFigures struct {
	messagesOut     float64
	bytesOut        float64
	messagesIn      float64
	bytesIn         float64
	configurationIn float64
	cpu             float64 // processor time, as a fraction of one core
	allocated       float64 // bytes
}

// measureWindow runs the simulation for a length of simulated time and returns the figures of that window.
func (s *Simulation) measureWindow(length time.Duration) (w windowFigures, err error) {
	s.CPU.Reset()
	s.Latencies, s.Rejected = nil, 0
	clear(s.busyUntil) // work from before the window, such as a long start, must not delay its requests
	before := s.counts()
	_, allocatedBefore := collectedHeap()
	if err := s.Run(length); err != nil {
		return w, err
	}
	_, allocated := collectedHeap()
	after := s.counts()
	gatewaySeconds := float64(s.Gateways) * length.Seconds()
	w.messagesOut = float64(after.MessagesOut-before.MessagesOut) / gatewaySeconds
	w.bytesOut = float64(after.BytesOut-before.BytesOut) / gatewaySeconds
	w.messagesIn = float64(after.MessagesIn-before.MessagesIn) / gatewaySeconds
	w.bytesIn = float64(after.BytesIn-before.BytesIn) / gatewaySeconds
	w.configurationIn = float64(after.ConfigurationIn-before.ConfigurationIn) / gatewaySeconds
	w.allocated = float64(allocated-allocatedBefore) / gatewaySeconds
	cpu := s.CPU.Sum(WorkStart, WorkTimer, WorkMessage, WorkRequest, WorkAnswer, WorkHostList, WorkConfiguration)
	w.cpu = cpu.Seconds() / gatewaySeconds
	return w, nil
}

// counts returns the sum of the counts of all gateways, including those that have been replaced by a restart.
func (s *Simulation) counts() (all Counts) {
	all = s.stoppedCounts
	for _, h := range s.gateways {
		all.add(h.Counts)
	}
	return all
}

// add adds each of the counts in other to the same one in c.
func (c *Counts) add(other Counts) {
	c.MessagesOut += other.MessagesOut
	c.BytesOut += other.BytesOut
	c.MessagesIn += other.MessagesIn
	c.BytesIn += other.BytesIn
	c.Batches += other.Batches
	c.Ticks += other.Ticks
	c.ConfigurationIn += other.ConfigurationIn
	c.ConfigurationOut += other.ConfigurationOut
}

// collectedHeap collects garbage and returns the bytes of the live heap, and the bytes allocated since the process
// started.
func collectedHeap() (live, allocated uint64) {
	runtime.GC()
	runtime.GC() // the second collection frees objects with finalizers and those in pools
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.TotalAlloc
}

// quantile returns the value at a fraction of the sorted values: 0.5 is the median. values must not be empty.
func quantile(values []int64, fraction float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)])
}
