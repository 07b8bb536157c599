package scale

import (
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"
)

const (
	gcPercent           = 100 // percent; the program's 400 would take five times the live heap of all gateways
	nanosPerMillisecond = 1e6
	nanosPerMicrosecond = 1e3
)

// Metric describes one figure of a gateway.
type Metric struct {
	Name        string `json:"name"`
	Unit        string `json:"unit"`
	Description string `json:"what"`

	// Counted reports that the figure is a count or bytes: the same in every run, on any machine, except for the live
	// heap's last few kilobytes. Others are processor time.
	Counted bool `json:"counted"`
}

// Names of metrics. Windows of time are: rest (no customer known, no request), known (all customers known, no request)
// and load (requests and changes as the deployment says).
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

// Metrics returns all figures of a point, in the order of the report.
func Metrics() []Metric {
	return []Metric{
		{LiveHeap, "bytes", "live heap after a collection, at the end", true},
		{StartCPU, "s", "processor time from the configuration file to the first list's end, least of the starts", false},
		{StartAllocated, "bytes", "allocated during the start", true},
		{RestMessages, "1/s", "messages sent at rest, no customer known", true},
		{RestBytes, "bytes/s", "bytes of these", true},
		{RestCPU, "core", "processor time at rest", false},
		{KnownMessages, "1/s", "messages sent with all customers known and no request", true},
		{KnownBytes, "bytes/s", "bytes of these", true},
		{KnownCPU, "core", "processor time then", false},
		{LoadMessages, "1/s", "messages sent under load", true},
		{LoadBytes, "bytes/s", "bytes of these", true},
		{LoadMessagesIn, "1/s", "messages received under load", true},
		{LoadBytesIn, "bytes/s", "bytes of these", true},
		{LoadCPU, "core", "processor time under load", false},
		{LoadAllocated, "bytes/s", "allocated under load, the simulation's own part included", true},
		{TimerCPU, "us", "processor time of a timer's batch, mean under load", false},
		{MessageCPU, "us", "processor time of a message received, mean under load", false},
		{RequestCPU, "us", "processor time of a request and its answer, mean", false},
		{HostListCPU, "us", "processor time of a change of the host list, mean", false},
		{ConfigurationCPU, "us", "processor time of a change of the configuration, mean", false},
		{ConfigurationBytesIn, "bytes/s", "versions of the configuration received, heartbeats left out", true},
		{DecisionP50, "us", "from a request's arrival to its decision, median, behind the gateway's other work", false},
		{DecisionP99, "us", "the same, 99 in 100", false},
		{CustomersKnown, "", "customers that a gateway has a record of, mean", true},
		{RejectedFraction, "", "part of the requests under load that the gateway rejected or failed", true},
	}
}

// Figures are one point's figures by metric. A figure that was not measured is absent.
type Figures map[string]float64

// keepMin keeps the lesser of each processor time and that of another measurement of the same size.
func (f Figures) keepMin(other Figures) {
	for _, metric := range Metrics() {
		if figure, measured := other[metric.Name]; measured && !metric.Counted {
			f[metric.Name] = min(f[metric.Name], figure)
		}
	}
}

// Durations are durations of the parts of a measurement in simulated time.
type Durations struct {
	Settle time.Duration // before each window
	Idle   time.Duration // windows without load
	Load   time.Duration // window of the load
}

// Measure runs a deployment and returns what one gateway of it needs: means over all, unless the metric says
// otherwise.
func Measure(d Deployment, lengths Durations, options Options) (figures Figures, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	if options.Directory, err = os.MkdirTemp("", "scale-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(options.Directory)
	common, err := d.shared()
	if err != nil {
		return nil, err
	}
	heapBefore, allocatedBefore := heap()
	s, err := NewSimulation(d, common, options)
	if err != nil {
		return nil, err
	}
	_, allocated := heap()
	figures = Figures{StartCPU: s.CPU.Min(WorkStart).Seconds(),
		StartAllocated: float64(allocated-allocatedBefore) / float64(d.Gateways)}
	if err := s.measurePhases(figures, lengths); err != nil {
		return nil, err
	}
	s.CPU.Reset()
	s.Latencies = nil
	heapAfter, _ := heap()
	figures[LiveHeap] = (float64(heapAfter) - float64(heapBefore)) / float64(d.Gateways)
	for _, h := range s.gateways {
		figures[CustomersKnown] += float64(h.CustomerCount()) / float64(d.Gateways)
	}
	return figures, nil
}

// measurePhases measures at rest, with customers known, and under load.
func (s *Simulation) measurePhases(figures Figures, lengths Durations) error {
	if err := s.Run(lengths.Settle); err != nil {
		return err
	}
	rest, err := s.window(lengths.Idle)
	if err != nil {
		return err
	}
	figures[RestMessages] = rest.messagesOut
	figures[RestBytes] = rest.bytesOut
	figures[RestCPU] = rest.share
	if s.Customers > 0 {
		if err := s.Run(s.SeedCustomers() + lengths.Settle); err != nil {
			return err
		}
		known, err := s.window(lengths.Idle)
		if err != nil {
			return err
		}
		figures[KnownMessages] = known.messagesOut
		figures[KnownBytes] = known.bytesOut
		figures[KnownCPU] = known.share
	}
	s.StartLoad(lengths.Load)
	load, err := s.window(lengths.Load)
	if err != nil {
		return err
	}
	s.addLoadFigures(figures, load)
	return s.Run(lengths.Settle)
}

// addLoadFigures adds the figures of the window of the load.
func (s *Simulation) addLoadFigures(figures Figures, load window) {
	figures[LoadMessages] = load.messagesOut
	figures[LoadBytes] = load.bytesOut
	figures[LoadMessagesIn] = load.messagesIn
	figures[LoadBytesIn] = load.bytesIn
	figures[LoadCPU] = load.share
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

// window is what happened in some simulated time: of one gateway, a second.
type window struct {
	messagesOut     float64
	bytesOut        float64
	messagesIn      float64
	bytesIn         float64
	configurationIn float64
	share           float64 // processor time, of a core
	allocated       float64 // bytes
}

// window measures a window of simulated time.
func (s *Simulation) window(length time.Duration) (w window, err error) {
	s.CPU.Reset()
	s.Latencies, s.Rejected = nil, 0
	clear(s.busyUntil) // with what was before: a long start is not part of the window
	before := s.counts()
	_, allocatedBefore := heap()
	if err := s.Run(length); err != nil {
		return w, err
	}
	_, allocated := heap()
	after := s.counts()
	per := float64(s.Gateways) * length.Seconds()
	w.messagesOut = float64(after.MessagesOut-before.MessagesOut) / per
	w.bytesOut = float64(after.BytesOut-before.BytesOut) / per
	w.messagesIn = float64(after.MessagesIn-before.MessagesIn) / per
	w.bytesIn = float64(after.BytesIn-before.BytesIn) / per
	w.configurationIn = float64(after.ConfigurationIn-before.ConfigurationIn) / per
	w.allocated = float64(allocated-allocatedBefore) / per
	cpu := s.CPU.Sum(WorkStart, WorkTimer, WorkMessage, WorkRequest, WorkAnswer, WorkHostList, WorkConfiguration)
	w.share = cpu.Seconds() / per
	return w, nil
}

// counts returns the counts of all gateways, those that were restarted included.
func (s *Simulation) counts() (all Counts) {
	all = s.endedCounts
	for _, h := range s.gateways {
		all.add(h.Counts)
	}
	return all
}

// add adds other counts.
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

// heap returns the live heap after a collection, and the bytes allocated since the process started.
func heap() (live, allocated uint64) {
	runtime.GC()
	runtime.GC() // what had a finalizer or stood in a pool goes with the second
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.TotalAlloc
}

// quantile returns the value that a fraction of the values does not exceed.
func quantile(values []int64, part float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[min(int(part*float64(len(sorted))), len(sorted)-1)])
}
