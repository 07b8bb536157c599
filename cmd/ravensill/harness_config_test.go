package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
)

// defaultSettings returns the settings of a gateway that runs alone.
func defaultSettings() map[string]any {
	requestClass := func(name, effect string, latencyObjectiveUS int) map[string]any {
		return map[string]any{
			"name":          name,
			"effect":        effect,
			"target_us":     latencyObjectiveUS,
			"hard_limit_us": 5000000,
			"points":        1,
			"window_us":     5000000,
		}
	}
	return map[string]any{
		"balancers": 1,
		"position":  0,
		"zones":     []string{"a"},
		"skus":      []string{"m"},
		"limits": map[string]any{
			"max_attempts":       3,
			"cancelling":         true,
			"retry_after":        true,
			"conn_idle_us":       30000000,
			"connect_timeout_us": 250000,
			"peer_messages":      true,
		},
		"profiles": []any{
			requestClass("lookup", "safe", 4000000),
			requestClass("order", "keyed", 4000000),
			requestClass("pay", "unsafe", 4000000),
			requestClass("quick", "safe", 300000),
		},
		"plans":       []any{map[string]any{"name": "team", "rate": 0.01, "burst": 8, "worth_factor": 1}},
		"report":      map[string]any{"how": "inline", "names": []string{"utilization"}},
		"family_info": map[string]any{"mail_per_s": 40},
	}
}

// hostList returns the entries of hosts, with the ids h0, h1, ...
func hostList(hosts []*testHost) (entries []any) {
	for i, host := range hosts {
		entries = append(entries, hostEntry(fmt.Sprint("h", i), host.Addr().String(), "active"))
	}
	return entries
}

// ampleBurst is more units than any test spends.
const ampleBurst = 1e6

// setBurst sets the burst of the settings' quota plan.
func setBurst(settings map[string]any, burst float64) {
	settings["plans"].([]any)[0].(map[string]any)["burst"] = burst
}

// configureShortDeadlines sets client timeouts so short that a gateway ends all connections 0.8 s after SIGTERM.
func configureShortDeadlines(_, settings map[string]any) {
	for _, entry := range settings["profiles"].([]any) {
		class := entry.(map[string]any)
		class["target_us"] = 200000
		class["hard_limit_us"] = 300000
	}
}

// hostEntry is one host of a host list, as discovery sends it.
func hostEntry(id, addr, state string) map[string]any {
	return map[string]any{
		"id":         id,
		"addr":       addr,
		"zone":       "a",
		"kind":       "m",
		"cell":       0,
		"state":      state,
		"weight":     1,
		"started_ms": 0,
	}
}

// serveDiscovery is a discovery agent: it answers each watch at once with entries.
func (g *gatewayProcess) serveDiscovery(agent net.Listener, entries ...any) {
	for {
		conn, err := agent.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		requestLine, _ := reader.ReadString('\n')
		for line := requestLine; len(line) > 2; {
			line, _ = reader.ReadString('\n')
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		version := 0
		fmt.Sscanf(requestLine, "GET /v1/servers?watch=1&after=%d ", &version)
		sendHostList(conn, version, entries...)
		g.watchRequests <- requestLine
		g.watches <- conn
	}
}

// sendHostList sends a delta of the host list in two HTTP chunks; odd versions are indented.
func sendHostList(conn net.Conn, version int, entries ...any) {
	update := map[string]any{"version": version, "full": false, "servers": entries}
	text, _ := json.Marshal(update)
	if version%2 == 1 {
		text, _ = json.MarshalIndent(update, "", "\t")
	}
	fmt.Fprintf(conn, "%x\r\n%s\r\n%x\r\n%s\n\r\n", 5, text[:5], len(text)-4, text[5:])
}
