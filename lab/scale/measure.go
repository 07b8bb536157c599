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
	LiveHeap          = "live_heap"
	StartTime         = "start_processor"
	StartAllocated    = "start_allocated"
	RestMessages      = "rest_messages_out"
	RestBytes         = "rest_bytes_out"
	RestShare         = "rest_processor"
	KnownMessages     = "known_messages_out"
	KnownBytes        = "known_bytes_out"
	KnownShare        = "known_processor"
	LoadMessages      = "load_messages_out"
	LoadBytes         = "load_bytes_out"
	LoadMessagesIn    = "load_messages_in"
	LoadBytesIn       = "load_bytes_in"
	LoadShare         = "load_processor"
	LoadAllocated     = "load_allocated"
	TickTime          = "tick_processor"
	MessageTime       = "message_processor"
	RequestTime       = "request_processor"
	MembershipTime    = "membership_processor"
	ConfigurationTime = "configuration_processor"
	ConfigurationIn   = "configuration_bytes_in"
	DecisionMedian    = "decision_p50"
	DecisionTail      = "decision_p99"
	CustomersKnown    = "customers_known"
	RejectedFraction  = "rejected"
)

// Metrics returns all figures of a point, in the order of the report.
func Metrics() []Metric {
	return []Metric{
		{LiveHeap, "bytes", "live heap after a collection, at the end", true},
		{StartTime, "s", "processor time from the configuration file to the first list's end, least of the starts", false},
		{StartAllocated, "bytes", "allocated during the start", true},
		{RestMessages, "1/s", "messages sent at rest, no customer known", true},
		{RestBytes, "bytes/s", "bytes of these", true},
		{RestShare, "core", "processor time at rest", false},
		{KnownMessages, "1/s", "messages sent with all customers known and no request", true},
		{KnownBytes, "bytes/s", "bytes of these", true},
		{KnownShare, "core", "processor time then", false},
		{LoadMessages, "1/s", "messages sent under load", true},
		{LoadBytes, "bytes/s", "bytes of these", true},
		{LoadMessagesIn, "1/s", "messages received under load", true},
		{LoadBytesIn, "bytes/s", "bytes of these", true},
		{LoadShare, "core", "processor time under load", false},
		{LoadAllocated, "bytes/s", "allocated under load, the simulation's own part included", true},
		{TickTime, "us", "processor time of a timer's batch, mean under load", false},
		{MessageTime, "us", "processor time of a message received, mean under load", false},
		{RequestTime, "us", "processor time of a request and its answer, mean", false},
		{MembershipTime, "us", "processor time of a change of the host list, mean", false},
		{ConfigurationTime, "us", "processor time of a change of the configuration, mean", false},
		{ConfigurationIn, "bytes/s", "versions of the configuration received, heartbeats left out", true},
		{DecisionMedian, "us", "from a request's arrival to its decision, median, behind the gateway's other work", false},
		{DecisionTail, "us", "the same, 99 in 100", false},
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

// Lengths are durations of the parts of a measurement in simulated time.
type Lengths struct {
	Settle time.Duration // before each window
	Idle   time.Duration // windows without load
	Load   time.Duration // window of the load
}

// Measure runs a deployment and returns what one gateway of it needs: means over all, unless the metric says
// otherwise.
func Measure(d Deployment, lengths Lengths, options Options) (figures Figures, err error) {
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
	figures = Figures{StartTime: s.CPU.Min(Start).Seconds(),
		StartAllocated: float64(allocated-allocatedBefore) / float64(d.Gateways)}
	if err := s.measurePhases(figures, lengths); err != nil {
		return nil, err
	}
	s.CPU.Reset()
	s.Latencies = nil
	heapAfter, _ := heap()
	figures[LiveHeap] = (float64(heapAfter) - float64(heapBefore)) / float64(d.Gateways)
	for _, h := range s.gateways {
		figures[CustomersKnown] += float64(h.Customers()) / float64(d.Gateways)
	}
	return figures, nil
}

// measurePhases measures at rest, with customers known, and under load.
func (s *Simulation) measurePhases(figures Figures, lengths Lengths) error {
	if err := s.Run(lengths.Settle); err != nil {
		return err
	}
	rest, err := s.window(lengths.Idle)
	if err != nil {
		return err
	}
	figures[RestMessages] = rest.messagesOut
	figures[RestBytes] = rest.bytesOut
	figures[RestShare] = rest.share
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
		figures[KnownShare] = known.share
	}
	s.Load(lengths.Load)
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
	figures[LoadShare] = load.share
	figures[LoadAllocated] = load.allocated
	figures[TickTime] = s.CPU.Mean(Tick) / nanosPerMicrosecond
	figures[MessageTime] = s.CPU.Mean(Message) / nanosPerMicrosecond
	if _, changes := s.CPU.Total(Membership); changes > 0 {
		figures[MembershipTime] = s.CPU.Mean(Membership) / nanosPerMicrosecond
	}
	if _, changes := s.CPU.Total(Reconfigured); changes > 0 {
		figures[ConfigurationTime] = s.CPU.Mean(Reconfigured) / nanosPerMicrosecond
		figures[ConfigurationIn] = load.configurationIn
	}
	if _, requests := s.CPU.Total(Arrival); requests > 0 {
		figures[RequestTime] = float64(s.CPU.Sum(Arrival, Answer)) / float64(requests) / nanosPerMicrosecond
		figures[RejectedFraction] = float64(s.Rejected) / float64(requests)
		figures[DecisionMedian] = quantile(s.Latencies, 0.5) / nanosPerMicrosecond
		figures[DecisionTail] = quantile(s.Latencies, 0.99) / nanosPerMicrosecond
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
	cpu := s.CPU.Sum(Start, Tick, Message, Arrival, Answer, Membership, Reconfigured)
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
