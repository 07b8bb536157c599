package main

import (
	"fmt"
	"time"
)

// fleet is some gateways with hosts and discovery's agents, one for each gateway.
type fleet struct {
	hosts    []*host
	agents   []*agent
	gateways []*gatewayProcess
}

// fleetOptions are what a case chooses.
type fleetOptions struct {
	gateways int
	hosts    int
	host     hostOptions
	zone     string // of the hosts
	kind     string // of the hosts
	settings func(gateways, position int) map[string]any
	section  func(position int) map[string]any // further keys of the configuration; may be nil
}

// startFleet starts all parts and waits until the gateways are ready.
func startFleet(s *scenario, o *fleetOptions) (*fleet, error) {
	f := &fleet{}
	var servers []server
	for i := range o.hosts {
		h, err := newHost(fmt.Sprintf("s-%d", i), s.log, o.host)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
		servers = append(servers, server{
			ID: h.id, Addr: h.address(), Zone: o.zone, Kind: o.kind, Cell: i / 4, State: "active", Weight: 1,
		})
	}
	var peers []string
	for range o.gateways {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		peers = append(peers, address)
	}
	for i := range o.gateways {
		if err := f.startGateway(s, o, servers, peers, i); err != nil {
			f.end()
			return nil, err
		}
	}
	for _, g := range f.gateways {
		if err := g.waitReady(30 * time.Second); err != nil {
			f.end()
			return nil, err
		}
		s.log.printf("gateway %s is ready", g.name)
	}
	return f, nil
}

// startGateway starts the gateway with a position and its agent.
func (f *fleet) startGateway(s *scenario, o *fleetOptions, servers []server, peers []string, position int) error {
	agent, err := newAgent(s.log, servers)
	if err != nil {
		return err
	}
	f.agents = append(f.agents, agent)
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	config := map[string]any{
		"name": "n" + decimal(position), "listen": listen, "discovery": agent.address(),
		"seed":   "8c1f30d27a5be96" + decimal(position),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  agent.whole(), "settings": o.settings(o.gateways, position),
	}
	if o.gateways > 1 {
		config["peer_listen"] = peers[position]
		config["peers"] = peers
	}
	if o.section != nil {
		for key, value := range o.section(position) {
			config[key] = value
		}
	}
	g, err := startGateway(s.root, s.dir, config)
	if err != nil {
		return err
	}
	f.gateways = append(f.gateways, g)
	return nil
}

// end ends all processes that were started.
func (f *fleet) end() {
	for _, g := range f.gateways {
		g.kill()
	}
}

// runs returns how often the hosts began commands of a request.
func (f *fleet) runs(id string) (count int) {
	for _, h := range f.hosts {
		count += len(h.runsOf(id))
	}
	return count
}
