package slowstartsim

import (
	"bytes"
	"time"

	"ravensill/gateway"
)

// StartAttempt counts an attempt of the deciding gateway, unless it cannot reach the host, and schedules its end.
func (s *simulation) StartAttempt(request string, host uint32, timeout time.Duration) {
	number := s.attemptsByRequest[request]
	s.attemptsByRequest[request]++
	latency, result := s.outcome(int(host), timeout)
	if s.now >= s.newHostStart && result != gateway.Unreachable {
		s.attempts++
		if int(host) < s.config.NewHosts {
			s.receivedByHost[host] = append(s.receivedByHost[host], attempt{s.now, s.notifiedGateways[s.decidingGateway]})
		}
	}
	s.schedule.Add(int64(s.now.Add(latency)), event{gateway: s.decidingGateway, input: gateway.Event{
		Kind:      gateway.AttemptEnded,
		RequestID: request,
		Host:      host,
		Attempt:   number,
		Result:    result,
		Latency:   latency,
		Closed:    result == gateway.Succeeded,
	}})
}

// outcome returns the time after which an attempt of the deciding gateway at a host ends, and its result.
func (s *simulation) outcome(host int, timeout time.Duration) (time.Duration, gateway.Result) {
	if s.partitioned(s.decidingGateway%3 == 0, host < s.config.Hosts/3) {
		return connectTimeout, gateway.Unreachable
	}
	firstHealthy := s.config.NewHosts + int(s.config.FailingFraction*float64(s.config.Hosts-s.config.NewHosts))
	if host >= s.config.NewHosts && host < firstHealthy && s.sinceStart() >= s.config.LullDuration {
		return answerTime, gateway.Errored
	}
	if !s.config.Serial {
		return answerTime, gateway.Succeeded
	}
	latency := answerTime + s.serve(host)
	if latency > timeout {
		return timeout, gateway.TimedOut
	}
	return latency, gateway.Succeeded
}

// serve queues an attempt at a host that serves one at a time, and returns the time until it is served.
func (s *simulation) serve(host int) time.Duration {
	capacity := s.hostCapacity(s.config.SlowStart.Duration)
	if host < s.config.NewHosts && s.now >= s.newHostStart {
		capacity = s.hostCapacity(s.sinceStart())
	}
	work := time.Duration(float64(time.Second) / capacity)
	s.idleFrom[host] = max(s.idleFrom[host], s.now).Add(work)
	return s.idleFrom[host].Sub(s.now)
}

// SendGossip schedules the arrival of a message at another gateway, unless a partition separates the two.
func (s *simulation) SendGossip(peer int, body []byte) {
	if s.partitioned(s.decidingGateway%3 == 0, peer%3 == 0) {
		return
	}
	s.schedule.Add(int64(s.now.Add(gossipDelay)), event{gateway: peer, input: gateway.Event{
		Kind:    gateway.GossipReceived,
		Peer:    s.decidingGateway,
		Message: bytes.Clone(body),
	}})
}

// SetTimer schedules a timer event of the deciding gateway.
func (s *simulation) SetTimer(after time.Duration) {
	at := s.now.Add(max(after, minTimerDelay))
	s.schedule.Add(int64(at), event{gateway: s.decidingGateway, input: gateway.Event{Kind: gateway.TimerFired}})
}

// The other decisions do not change what hosts receive.

func (s *simulation) CancelAttempt(string, int)                   {}
func (s *simulation) Reject(string, time.Duration)                {}
func (s *simulation) Fail(string)                                 {}
func (s *simulation) SendProbe(uint32)                            {}
func (s *simulation) WatchEndpoints()                             {}
func (s *simulation) LogNote(string)                              {}
func (s *simulation) AddToCounter(uint64, float64, time.Duration) {}
