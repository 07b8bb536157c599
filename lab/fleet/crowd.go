package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ravensill/lab/actor"
	"ravensill/lab/emulator"
	"ravensill/lab/hostileclients"
)

// Limits of a gateway's resources in its configuration.
const (
	leastMemoryMB   = 32
	mostDescriptors = 1024 // a third of which clients may hold
)

// CrowdReport is what happened to a crowd of hostile clients at one gateway.
type CrowdReport struct {
	Gateway  int
	Behavior string
	From     int64 // in ns of actor.Now
	To       int64
	hostileclients.Counts
}

// crowdLog collects the reports of the crowds of a run. It is safe for concurrent use.
type crowdLog struct {
	mu      sync.Mutex
	reports []CrowdReport
}

func (l *crowdLog) add(report CrowdReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, report)
}

func (l *crowdLog) all() []CrowdReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports
}

// ConnectCrowd returns a step that connects hostile clients to a gateway for some time. They are connected in the
// background while later steps run.
func ConnectCrowd(
	at, duration time.Duration,
	gateway, clients int,
	behavior hostileclients.Behavior,
	seed uint64,
) Step {
	description := fmt.Sprintf("%d clients at %s: %s", clients, GatewayName(gateway), behavior.Name)
	return Step{at, description, func(ctx context.Context, f *Fleet) error {
		crowd := hostileclients.Crowd{
			Addr:     f.gateways[gateway].Addr(),
			Clients:  clients,
			Behavior: behavior,
			Seed:     seed,
		}
		report := CrowdReport{Gateway: gateway, Behavior: behavior.Name, From: actor.Now()}
		run := crowd.Start()
		f.backgroundSteps.Go(func() error {
			select {
			case <-time.After(duration):
			case <-ctx.Done():
			}
			report.Counts = run.Stop()
			report.To = actor.Now()
			f.crowds.add(report)
			return ctx.Err()
		})
		return nil
	}}
}

// memorySampleInterval is the time between two readings of the gateways' resident memory. The kernel keeps the peak of
// each process, so that only the last moments of a process can be missed.
const memorySampleInterval = 20 * time.Millisecond

// sampleMemory records the highest resident memory of each gateway until the returned function is called, which may be
// called more than once.
func (r *Report) sampleMemory() (stop func()) {
	r.PeakRSS = make([]int, len(r.Fleet.gateways))
	stopped := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			for i, usage := range r.Fleet.usage() {
				r.PeakRSS[i] = max(r.PeakRSS[i], usage.PeakRSS)
			}
			select {
			case <-stopped:
				return
			case <-time.After(memorySampleInterval):
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(stopped)
		<-ended
	})
}

// MemoryWithinLimit requires that no process ever has more resident memory than limits.memory_mb of its configuration.
var MemoryWithinLimit = Check{"memory within its limit", func(r *Report) string {
	var violations []string
	for i, peak := range r.PeakRSS {
		limit := r.Fleet.gateways[i].Config.Resources.MemoryMB << 20
		if peak > limit {
			violations = append(violations, fmt.Sprintf("%s: %d of %d MiB", GatewayName(i), peak>>20, limit>>20))
		}
	}
	return summarizeViolations(violations)
}}

const (
	badClientLimit = 3 * time.Second        // within which a bad client is owed an error or a close
	lateAnswer     = 500 * time.Millisecond // after its time, from which on an answer counts as lost
)

// BadClientsAnswered requires that each hostile client that reads gets an answer or the end of its connection in time.
var BadClientsAnswered = Check{"an error or a close for bad clients in time", func(r *Report) string {
	limit := badClientLimit + socketSlack + r.Clients.MaxDelay
	var violations []string
	for _, crowd := range r.Crowds {
		if crowd.LongestWithoutEnd > limit {
			violations = append(violations, fmt.Sprintf("%s at %s: %v", crowd.Behavior, GatewayName(crowd.Gateway),
				crowd.LongestWithoutEnd))
		}
	}
	return summarizeViolations(violations)
}}

// AnsweredInTime requires that each request of an undisturbed gateway is answered at the latest lateAnswer after its
// client's timeout.
var AnsweredInTime = Check{"answered in time", func(r *Report) string {
	limit := lateAnswer + socketSlack + r.Clients.MaxDelay
	var violations []string
	for _, request := range r.Clients.Requests {
		late := time.Duration(request.EndedAt-request.SentAt) - request.Timeout
		if request.Result == emulator.GaveUp || late <= limit {
			continue
		}
		if r.Gateways[request.Gateway].unavailableDuring(request.SentAt, request.EndedAt) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s at %s: %v late", request.ID, GatewayName(request.Gateway), late))
	}
	return summarizeViolations(violations)
}}

// longestHostDelay returns the longest time by which a host handled a command later than its model says, because this
// process was slow.
func (r *Report) longestHostDelay() time.Duration {
	delays := r.hostDelays()
	if len(delays) == 0 {
		return 0
	}
	return max(slices.Max(delays), 0)
}

// NothingAfterHostileClientLeft requires that no attempt begins after a hostile client has closed its connection.
var NothingAfterHostileClientLeft = Check{"no attempt after a hostile client left", func(r *Report) string {
	leftAt := map[string]int64{}
	for _, crowd := range r.Crowds {
		for key, at := range crowd.LeftAt {
			leftAt[key] = at
		}
	}
	limit := afterClientLeft + socketSlack + max(r.Clients.MaxDelay, r.longestHostDelay())
	var violations []string
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			if !strings.HasPrefix(command.ID, hostileclients.IDPrefix) {
				continue
			}
			at, left := leftAt[hostileclients.ConnectionKey(command.ID)]
			if late := time.Duration(command.ArrivedAt - at); left && late > limit {
				violations = append(violations, fmt.Sprintf("%s at %s, %v after", command.ID, host.ID, late))
			}
		}
	}
	return summarizeViolations(violations)
}}
