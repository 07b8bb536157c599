package main

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"time"
)

const (
	copiesGateways = 3
	copiesClients  = 4                       // connections to each gateway
	copiesRequests = 2400                    // over all gateways
	copiesSpacing  = 15 * time.Millisecond   // mean time between two requests: 66 a second
	copiesWait     = 4500 * time.Millisecond // d of a request, 75% of the deadline
	copiesLink     = 2400 * time.Microsecond // one way between the halls
	copiesLag      = 3500 * time.Microsecond // from an answer to its second copy
	copiesShare    = 0.1                     // of the answers with a second copy
)

// playCopies runs gateways under a connection quota, docs/pool.md, while the store sends some answers a second time.
func playCopies(s *scenario) (int, error) {
	random := rand.New(rand.NewPCG(1, 2))
	copied := map[string]bool{}
	var ids []string
	for i := range copiesRequests {
		ids = append(ids, fmt.Sprintf("r-%05d", i))
		copied[ids[i]] = random.Float64() < copiesShare && s.trouble
	}
	options := &fleetOptions{
		gateways: copiesGateways, hosts: 1, zone: "hall-b", kind: "small-2core", settings: joburgPanels,
		host: hostOptions{
			valueSize: 200,
			work:      func(id string) time.Duration { return time.Duration(120+len(id)*int(id[6])%60) * time.Millisecond },
			linkDelay: copiesLink,
			secondCopy: func(id string) time.Duration {
				if copied[id] {
					return copiesLag
				}
				return 0
			},
		},
	}
	var voters []string
	for range copiesGateways {
		address, err := freeAddress()
		if err != nil {
			return couldNotRun, err
		}
		voters = append(voters, address)
	}
	options.section = func(position int) map[string]any {
		return map[string]any{"pool": map[string]any{
			"capacity": 14, "serial": 1, "reserve": 2, "floor": 2, "voters": voters, "voter_seats": []int{0, 1, 2},
			"listen": voters[position], "dir": filepath.Join(s.dir, "pool"+decimal(position)),
			"key": "00112233445566778899aabbccddeeff",
		}}
	}
	f, err := startFleet(s, options)
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	time.Sleep(3 * time.Second) // the voters elect a leader
	calls, err := sendCopiesTraffic(s, f, ids)
	if err != nil {
		return couldNotRun, err
	}
	return judgeCopies(s, calls), nil
}

// sendCopiesTraffic sends the requests and returns their calls after all have had their time.
func sendCopiesTraffic(s *scenario, f *fleet, ids []string) ([]*call, error) {
	var clients []*clientConn
	for _, g := range f.gateways {
		for range copiesClients {
			client, err := dialClient(g.listen, s.log)
			if err != nil {
				return nil, err
			}
			clients = append(clients, client)
		}
	}
	var calls []*call
	random := rand.New(rand.NewPCG(3, 4))
	for i, id := range ids {
		list := fmt.Sprintf("c=page-fetch,t=premium,d=%d,units=1,spread=3,first=0", copiesWait.Milliseconds())
		words := []string{"CALL.GET", fmt.Sprintf("%016x", 1000+i%300), id, list}
		c, err := clients[i%len(clients)].send(id, copiesWait, words...)
		if err != nil {
			return nil, err
		}
		calls = append(calls, c)
		time.Sleep(time.Duration(random.ExpFloat64() * float64(copiesSpacing)))
	}
	time.Sleep(copiesWait + time.Second)
	return calls, nil
}

// judgeCopies reports whether a request was served with a value that was not made for it.
func judgeCopies(s *scenario, calls []*call) int {
	foreign, served, others := 0, 0, 0
	for _, c := range calls {
		switch {
		case c.kind != '$':
			others++
		case strings.HasPrefix(c.text, "value of "+c.id+" "):
			served++
		default:
			foreign++
			s.log.printf("FOREIGN: the client asked %s and was served %s", c.id, c.short())
		}
	}
	s.summary("requests %d: served with their own value %d, with that of another request %d, not served %d", len(calls),
		served, foreign, others)
	if foreign > 0 {
		return broken
	}
	return held
}
