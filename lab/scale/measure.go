package scale

import (
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"
)

const (
	collectorGoal       = 100 // percent; the program's 400 would take five times the live heap of all gateways
	nanosPerSecond      = 1e9
	nanosPerMillisecond = 1e6
)

// Metric is one figure of a gateway.
type Metric struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	What string `json:"what"`
	// Counted tells that the figure is a count or bytes: the same in every run, on any machine, but for the
	// live heap's last few kilobytes. Others are processor time.
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
	RejectedShare     = "rejected"
)

// Metrics are all figures of a point, in the order of the report.
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
		{RejectedShare, "", "part of the requests under load that the gateway rejected or failed", true},
	}
}

// Figures are one point's figures by metric. What was not measured is absent.
type Figures map[string]float64

// least keeps the lesser processor time of each kind, from another measurement of the same.
func (f Figures) least(other Figures) {
	for _, metric := range Metrics() {
		if figure, measured := other[metric.Name]; measured && !metric.Counted {
			f[metric.Name] = min(f[metric.Name], figure)
		}
	}
}

// Lengths are how long the parts of a measurement are in simulated time: before each window, and the windows.
type Lengths struct{ Settle, Rest, Load time.Duration }

// Measure runs a deployment and gives what one gateway of it needs: means over all, unless the metric says otherwise.
func Measure(d Deployment, lengths Lengths, options Options) (figures Figures, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer debug.SetGCPercent(debug.SetGCPercent(collectorGoal))
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
	figures = Figures{StartTime: float64(s.Processor.Least(Start)) / nanosPerSecond,
		StartAllocated: float64(allocated-allocatedBefore) / float64(d.Gateways)}
	if err := s.phases(figures, lengths); err != nil {
		return nil, err
	}
	s.Processor.Reset()
	s.Latencies = nil
	heapAfter, _ := heap()
	figures[LiveHeap] = (float64(heapAfter) - float64(heapBefore)) / float64(d.Gateways)
	for _, h := range s.gateways {
		figures[CustomersKnown] += float64(h.Customers()) / float64(d.Gateways)
	}
	return figures, nil
}

// phases measures at rest, with customers known, and under load.
func (s *Simulation) phases(figures Figures, lengths Lengths) error {
	if err := s.Run(lengths.Settle); err != nil {
		return err
	}
	rest, err := s.window(lengths.Rest)
	if err != nil {
		return err
	}
	figures[RestMessages], figures[RestBytes], figures[RestShare] = rest.messagesOut, rest.bytesOut, rest.share
	if s.Customers > 0 {
		if err := s.Run(s.Seed() + lengths.Settle); err != nil {
			return err
		}
		known, err := s.window(lengths.Rest)
		if err != nil {
			return err
		}
		figures[KnownMessages], figures[KnownBytes], figures[KnownShare] = known.messagesOut, known.bytesOut, known.share
	}
	s.Load(lengths.Load)
	load, err := s.window(lengths.Load)
	if err != nil {
		return err
	}
	s.underLoad(figures, load)
	return s.Run(lengths.Settle)
}

// underLoad enters what the window of the load measured.
func (s *Simulation) underLoad(figures Figures, load window) {
	figures[LoadMessages], figures[LoadBytes] = load.messagesOut, load.bytesOut
	figures[LoadMessagesIn], figures[LoadBytesIn] = load.messagesIn, load.bytesIn
	figures[LoadShare], figures[LoadAllocated] = load.share, load.allocated
	figures[TickTime] = s.Processor.Mean(Tick) / 1e3
	figures[MessageTime] = s.Processor.Mean(Message) / 1e3
	if _, changes := s.Processor.Total(Membership); changes > 0 {
		figures[MembershipTime] = s.Processor.Mean(Membership) / 1e3
	}
	if _, changes := s.Processor.Total(Reconfigured); changes > 0 {
		figures[ConfigurationTime] = s.Processor.Mean(Reconfigured) / 1e3
		figures[ConfigurationIn] = load.configurationIn
	}
	if _, requests := s.Processor.Total(Arrival); requests > 0 {
		figures[RequestTime] = float64(s.Processor.Sum(Arrival, Answer)) / float64(requests) / 1e3
		figures[RejectedShare] = float64(s.Rejected) / float64(requests)
		figures[DecisionMedian] = quantile(s.Latencies, 0.5) / 1e3
		figures[DecisionTail] = quantile(s.Latencies, 0.99) / 1e3
	}
}

// window is what happened in some simulated time: of one gateway, a second.
type window struct{ messagesOut, bytesOut, messagesIn, bytesIn, configurationIn, share, allocated float64 }

func (s *Simulation) window(length time.Duration) (w window, err error) {
	s.Processor.Reset()
	s.Latencies, s.Rejected = nil, 0
	clear(s.busy) // with what was before: a long start is not part of the window
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
	w.share = float64(s.Processor.Sum(Start, Tick, Message, Arrival, Answer, Membership, Reconfigured)) / nanosPerSecond / per
	return w, nil
}

// counts are of all gateways, those of former lives included.
func (s *Simulation) counts() (all Counts) {
	all = s.former
	for _, h := range s.gateways {
		all.add(h.Counts)
	}
	return all
}

func (c *Counts) add(other Counts) {
	c.MessagesOut += other.MessagesOut
	c.BytesOut += other.BytesOut
	c.MessagesIn += other.MessagesIn
	c.BytesIn += other.BytesIn
	c.Rounds += other.Rounds
	c.Ticks += other.Ticks
	c.ConfigurationIn += other.ConfigurationIn
	c.ConfigurationOut += other.ConfigurationOut
}

// heap gives the live heap after a collection, and the bytes allocated since the process began.
func heap() (live, allocated uint64) {
	runtime.GC()
	runtime.GC() // what had a finalizer or stood in a pool goes with the second
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.TotalAlloc
}

func quantile(values []int64, part float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return float64(sorted[min(int(part*float64(len(sorted))), len(sorted)-1)])
}
