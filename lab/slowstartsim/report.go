package slowstartsim

import (
	"fmt"
	"time"
)

// Report is the fullest window of any host while it is warming up, and how the cold hosts were used.
type Report struct {
	Sent    float64 // attempts in the window, over two thirds of them by gateways that had learned of the start
	Allowed float64 // attempts in the window by the settings
	Bound   float64 // Budget of Allowed
	At      time.Duration
	Share   float64 // of all attempts that went to cold hosts, divided by their share of the capacity
	Idle    int     // cold hosts that received nothing at all
}

// String returns the report in one line.
func (r Report) String() string {
	return fmt.Sprintf("fullest window %.0f of %.1f allowed (bound %.1f, %.2f of it) %v after the start; "+
		"%.2f of the cold hosts' part; idle %d",
		r.Sent, r.Allowed, r.Bound, r.Sent/r.Bound, r.At.Round(time.Second), r.Share, r.Idle)
}

// report returns the report of the run.
func (s *simulation) report() (report Report) {
	received := 0
	for _, attempts := range s.received {
		received += len(attempts)
		if len(attempts) == 0 {
			report.Idle++
		}
		s.addWindows(&report, attempts)
	}
	report.Share = float64(received) / max(float64(s.allAttempts)*s.coldShare(), 1)
	return report
}

// addWindows adds the windows of one host, each of which ends with an attempt.
func (s *simulation) addWindows(report *Report, attempts []attempt) {
	window := s.Settings.OverloadWindow
	informed := 0 // attempts of the window by gateways that had learned of the start
	first := 0
	for i, latest := range attempts {
		at := time.Duration(latest.at - s.coldStart)
		if at >= s.Settings.Duration {
			return
		}
		informed += latest.count()
		for time.Duration(latest.at-attempts[first].at) > window {
			informed -= attempts[first].count()
			first++
		}
		sent := i - first + 1
		if 3*informed <= 2*sent {
			continue
		}
		allowed := s.Settings.OverloadFactor * s.capacity(at) * window.Seconds()
		bound := Budget(allowed)
		if report.Bound == 0 || float64(sent)/bound > report.Sent/report.Bound {
			report.Sent = float64(sent)
			report.Allowed = allowed
			report.Bound = bound
			report.At = at
		}
	}
}

// count returns 1 if the attempt's gateway had learned of the start, otherwise 0.
func (a attempt) count() int {
	if a.informed {
		return 1
	}
	return 0
}

// coldShare returns the mean share of the cold hosts in the capacity.
func (s *simulation) coldShare() (share float64) {
	for age := time.Duration(0); age < s.Duration; age += time.Second {
		ofOne := s.capacity(age) / s.capacity(s.Settings.Duration) / s.Duration.Seconds() / float64(s.Hosts)
		share += ofOne * float64(s.ColdHosts)
	}
	return share
}
