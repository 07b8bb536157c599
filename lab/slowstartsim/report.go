package slowstartsim

import (
	"fmt"
	"math"
	"time"
)

// Report describes the window of Config.SlowStart.OverloadWindow in which a new host, while warming up, received the
// most attempts relative to the bound.
type Report struct {
	// Sent is the number of attempts in that window. Only windows count in which over two thirds of the attempts are of
	// gateways that were notified of the host's start.
	Sent float64
	// Allowed is the number of attempts that the settings allow in that window.
	Allowed float64
	// Bound is the Budget for Allowed; 0 if no window counted.
	Bound float64
	// HostAge is the age of the host at the end of that window.
	HostAge time.Duration
	// ShareRatio is the ratio of the new hosts' fraction of all attempts to their fraction of the capacity.
	ShareRatio float64
	// IdleHosts is the number of new hosts that received no attempt.
	IdleHosts int
}

// fewAttempts is the number of allowed attempts below which Budget allows more for random variation.
const fewAttempts = 30

// Budget returns the largest number of attempts that a host may receive in a window while it warms up, if the settings
// allow n: n plus the margin for random variation that the operators' acceptance criteria grant.
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

// report computes the report of the finished simulation.
func (s *simulation) report() Report {
	var r Report
	received := 0
	for _, attempts := range s.receivedByHost {
		received += len(attempts)
		if len(attempts) == 0 {
			r.IdleHosts++
		}
		s.measureWindows(attempts, &r)
	}
	r.ShareRatio = float64(received) / max(float64(s.attempts)*s.newHostShare(), 1)
	return r
}

// measureWindows sets r to the window of one host with the most attempts relative to the bound, if it has more than the
// window in r. Each attempt that the host receives while warming up ends one window.
func (s *simulation) measureWindows(attempts []attempt, r *Report) {
	first := 0    // index of the first attempt of the window
	notified := 0 // attempts of the window by notified gateways
	for last, end := range attempts {
		age := end.at.Sub(s.newHostStart)
		if age >= s.config.SlowStart.Duration {
			return
		}
		notified += countNotified(end)
		for end.at.Sub(attempts[first].at) > s.config.SlowStart.OverloadWindow {
			notified -= countNotified(attempts[first])
			first++
		}
		allowed := s.config.SlowStart.OverloadFactor * s.hostCapacity(age) * seconds(s.config.SlowStart.OverloadWindow)
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

// newHostShare returns the ratio of the capacity of the new hosts, as the mean over the simulation, to that of all
// hosts when warm.
func (s *simulation) newHostShare() float64 {
	share := 0.0
	for age := time.Duration(0); age < s.config.Duration; age += time.Second {
		warmUpFactor := s.hostCapacity(age) / s.hostCapacity(s.config.SlowStart.Duration)
		share += warmUpFactor / seconds(s.config.Duration) / float64(s.config.Hosts) * float64(s.config.NewHosts)
	}
	return share
}

func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }
