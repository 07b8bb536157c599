package slowstartsim

import (
	"bytes"
	"time"

	"ravensill/gateway"
)

// isolated is the fraction of the gateways and of the hosts on one side of a partition.
const isolated = 3

// StartAttempt makes an attempt of the deciding gateway at a host.
func (s *simulation) StartAttempt(request string, host uint32, timeout time.Duration) {
	number := s.attempts[request]
	s.attempts[request]++
	result, latency := s.outcome(int(host), timeout)
	if s.sinceStart() >= 0 && result != gateway.Unreachable {
		s.allAttempts++
		if s.isCold(int(host)) {
			s.received[host] = append(s.received[host], attempt{s.now, s.informed[s.deciding]})
		}
	}
	s.schedule.Add(s.now+int64(latency), event{gateway: s.deciding, event: gateway.Event{
		Kind:      gateway.AttemptEnded,
		RequestID: request,
		Host:      host,
		Attempt:   number,
		Result:    result,
		Latency:   latency,
		Closed:    result == gateway.Succeeded,
	}})
}

// outcome returns how an attempt of the deciding gateway at a host ends, and after what time.
func (s *simulation) outcome(host int, timeout time.Duration) (gateway.Result, time.Duration) {
	failing := s.ColdHosts + int(s.FailingFraction*float64(s.Hosts-s.ColdHosts))
	switch {
	case s.partitioned(s.deciding%isolated == 0, host < s.Hosts/isolated):
		return gateway.Unreachable, dialTimeout
	case !s.isCold(host) && host < failing && s.sinceStart() >= s.Lull:
		return gateway.Errored, answerTime
	case !s.Queueing:
		return gateway.Succeeded, answerTime
	}
	latency := answerTime + s.queueingTime(host)
	if latency > timeout {
		return gateway.TimedOut, timeout
	}
	return gateway.Succeeded, latency
}

// queueingTime adds an attempt to a host's queue and returns when the host has served it.
func (s *simulation) queueingTime(host int) time.Duration {
	capacity := s.capacity(s.Settings.Duration)
	if s.isCold(host) && s.sinceStart() >= 0 {
		capacity = s.capacity(s.sinceStart())
	}
	s.idleAt[host] = max(s.idleAt[host], s.now) + int64(1e9/capacity)
	return time.Duration(s.idleAt[host] - s.now)
}

// partitioned reports whether two ends are cut off from each other now. Each is on one side of the partition or not.
func (s *simulation) partitioned(one, other bool) bool {
	return one != other && s.sinceStart() >= 0 && s.sinceStart() < s.Partition
}

// SendGossip sends a message to a peer.
func (s *simulation) SendGossip(peer int, body []byte) {
	if s.partitioned(s.deciding%isolated == 0, peer%isolated == 0) {
		return
	}
	s.schedule.Add(s.now+int64(gossipDelay), event{gateway: peer, event: gateway.Event{
		Kind:    gateway.GossipReceived,
		Peer:    s.deciding,
		Message: bytes.Clone(body),
	}})
}

// SetTimer sets the deciding gateway's timer.
func (s *simulation) SetTimer(after time.Duration) {
	s.schedule.Add(s.now+int64(max(after, minTimer)), event{
		gateway: s.deciding,
		event:   gateway.Event{Kind: gateway.TimerFired},
	})
}

// CancelAttempt does nothing: a host answers nevertheless.
func (s *simulation) CancelAttempt(string, int) {}

// Reject does nothing: clients do not retry.
func (s *simulation) Reject(string, time.Duration) {}

// Fail does nothing: clients do not retry.
func (s *simulation) Fail(string) {}

// SendProbe does nothing: hosts report no load.
func (s *simulation) SendProbe(uint32) {}

// WatchEndpoints does nothing: the simulation sends the list.
func (s *simulation) WatchEndpoints() {}

// LogNote does nothing: there is no log.
func (s *simulation) LogNote(string) {}

// AddToCounter does nothing: there is no shared counter.
func (s *simulation) AddToCounter(uint64, float64, time.Duration) {}
