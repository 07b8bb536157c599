package main

import (
	"fmt"
	"time"
)

const (
	pipelineGateways = 2
	pipelineHosts    = 8
	pipelineValue    = 24 << 10               // bytes of a value, of the 64 KiB that the protocol allows
	burstCommands    = 6                      // sent at once on one connection: their answers have 144 KiB together
	burstSpacing     = 150 * time.Millisecond // from one burst to the next: 40 requests a second to each gateway
	bursts           = 120
	hangFrom         = 40 // burst before which the host begins to hang
	hangTo           = 90 // burst before which it answers again: 7.5 s later
)

// playPipeline sends bursts of requests on one connection to each gateway, without waiting for the answers to the burst
// before, while one host of eight hangs.
func playPipeline(s *scenario) (int, error) {
	f, err := startFleet(s, &fleetOptions{
		gateways: pipelineGateways, hosts: pipelineHosts, zone: "derby-dc1", kind: "std-3core", settings: eastMids,
		host: hostOptions{valueSize: pipelineValue, work: pipelineWork},
	})
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	clients := make([]*clientConn, pipelineGateways)
	var calls []*call
	for burst := range bursts {
		if s.trouble && (burst == hangFrom || burst == hangTo) {
			f.hosts[3].hangs.Store(burst == hangFrom)
			s.log.printf("host s-3 hangs: %v", burst == hangFrom)
		}
		for k, g := range f.gateways {
			for i := range burstCommands {
				c, err := sendPipelined(s, g, &clients[k], burst*burstCommands+i, k)
				if err != nil {
					return couldNotRun, err
				}
				calls = append(calls, c)
			}
		}
		time.Sleep(burstSpacing)
	}
	time.Sleep(6 * time.Second)
	return judgePipeline(s, f, calls), nil
}

// isCheckIn reports whether the request with a number is a check-in: one in three.
func isCheckIn(number int) bool { return number%3 == 2 }

// pipelineWork returns the work of a request, which is the mean work of its class.
func pipelineWork(id string) time.Duration {
	number := 0
	fmt.Sscanf(id[3:], "%d", &number)
	if isCheckIn(number) {
		return 150 * time.Millisecond
	}
	return 80 * time.Millisecond
}

// sendPipelined sends the next request to a gateway, on a new connection if the one before has ended. The connection
// is the client's only one to this gateway.
func sendPipelined(s *scenario, g *gatewayProcess, client **clientConn, number, gateway int) (*call, error) {
	id := fmt.Sprintf("r%d-%04d", gateway, number)
	wait := 2 * time.Second
	words := []string{"CALL.GET", fmt.Sprintf("%016x", 1000+number%80), id,
		fmt.Sprintf("c=lookup,t=standard,d=%d,units=1,spread=2,first=0", wait.Milliseconds())}
	if isCheckIn(number) {
		wait = 4 * time.Second
		words[0] = "CALL.POST"
		words[3] = fmt.Sprintf("c=check-in,t=standard,d=%d,k=%016x,units=1,spread=2,first=0", wait.Milliseconds(),
			number*pipelineGateways+gateway)
		words = append(words, "BODY")
	}
	if *client != nil {
		if c, err := (*client).send(id, wait, words...); err == nil {
			return c, nil
		}
	}
	next, err := dialClient(g.listen, s.log)
	if err != nil {
		return nil, err
	}
	*client = next
	return next.send(id, wait, words...)
}

// judgePipeline reports whether a gateway ended a connection without a whole answer to a request that it had taken, or
// never answered one. A request that no host has begun and that was sent just before the end isn't counted: the close
// may have crossed it.
func judgePipeline(s *scenario, f *fleet, calls []*call) int {
	const crossing = 50 * time.Millisecond
	lost, lostAndRun, answered, crossed := 0, 0, 0, 0
	for _, c := range calls {
		runs := f.runs(c.id)
		switch {
		case !c.answeredAt.IsZero():
			answered++
		case runs == 0 && c.end != nil && c.endedAt.Sub(c.sentAt) < crossing:
			crossed++
		default:
			lost++
			if runs > 0 {
				lostAndRun++
			}
			s.log.printf("LOST: %s, begun by hosts %d times, the connection ended with %v", c.id, runs, c.end)
		}
	}
	s.summary("requests %d: answered %d, crossed a close %d, lost %d, of these begun by a host %d", len(calls), answered,
		crossed, lost, lostAndRun)
	if lost > 0 {
		return broken
	}
	return held
}
