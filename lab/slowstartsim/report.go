package slowstartsim

import (
	"fmt"
	"math"
	"time"
)

// Report describes the fullest window of any new host while it warms up, relative to its bound.
type Report struct {
	// Sent is the number of attempts in that window, over two thirds of them by gateways notified of the start.
	Sent float64
	// Allowed is what the settings allow in that window, Bound the Budget of it.
	Allowed float64
	Bound   float64
	// HostAge is the age of the host at the end of that window.
	HostAge time.Duration
	// ShareRatio is the new hosts' fraction of all attempts over their fraction of the capacity.
	ShareRatio float64
	// IdleHosts is the number of new hosts that received no attempt.
	IdleHosts int
}

// fewAttempts is the number of attempts under which a budget has more slack for chance.
const fewAttempts = 30

// Budget returns the most attempts that a host may receive in one window while it warms up, where its settings allow it
// n: n and the slack for chance of the operators' acceptance page.
func Budget(n float64) float64 {
	if n < fewAttempts {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

func (r Report) String() string {
	return fmt.Sprintf("fullest window %.0f of %.1f allowed (bound %.1f, %.2f of it) %v after the start; "+
		"%.2f of the new hosts' share; idle %d",
		r.Sent, r.Allowed, r.Bound, r.Sent/r.Bound, r.HostAge.Round(time.Second), r.ShareRatio, r.IdleHosts)
}

// report measures the finished experiment.
func (s *simulation) report() Report {
	var r Report
	received := 0
	for _, attempts := range s.received {
		received += len(attempts)
		if len(attempts) == 0 {
			r.IdleHosts++
		}
		s.measureWindows(attempts, &r)
	}
	r.ShareRatio = float64(received) / max(float64(s.attempts)*s.newHostShare(), 1)
	return r
}

// measureWindows sets r to the fullest window of one host, if it is fuller than the one in r. Each attempt of the
// warm-up ends one window.
func (s *simulation) measureWindows(attempts []attempt, r *Report) {
	first := 0 // attempt of the window
	notified := 0
	for last, end := range attempts {
		age := end.at.Sub(s.hostStart)
		if age >= s.config.SlowStart.Duration {
			return
		}
		notified += countNotified(end)
		for end.at.Sub(attempts[first].at) > s.config.SlowStart.OverloadWindow {
			notified -= countNotified(attempts[first])
			first++
		}
		allowed := s.config.SlowStart.OverloadFactor * s.capacity(age) * seconds(s.config.SlowStart.OverloadWindow)
		bound := Budget(allowed)
		sent := last - first + 1
		mostlyNotified := 3*notified > 2*sent
		if mostlyNotified && (r.Bound == 0 || float64(sent)/bound > r.Sent/r.Bound) {
			r.Sent = float64(sent)
			r.Allowed = allowed
			r.Bound = bound
			r.HostAge = age
		}
	}
}

func countNotified(a attempt) int {
	if a.notified {
		return 1
	}
	return 0
}

// newHostShare returns the new hosts' fraction of the capacity of all hosts, the mean over the experiment.
func (s *simulation) newHostShare() float64 {
	share := 0.0
	for age := time.Duration(0); age < s.config.Duration; age += time.Second {
		warmUpFactor := s.capacity(age) / s.capacity(s.config.SlowStart.Duration)
		share += warmUpFactor / seconds(s.config.Duration) / float64(s.config.Hosts) * float64(s.config.NewHosts)
	}
	return share
}

func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }
