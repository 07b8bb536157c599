package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
)

// serveDiscovery runs a discovery agent. It answers each watch at once with a delta of the given entries, keeps the
// connection open, and passes the request line and the connection to the test.
func (g *gatewayProcess) serveDiscovery(agent net.Listener, entries ...hostEntry) {
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

// sendHostList sends a delta of the host list in two HTTP chunks. Odd versions are indented, so that both forms of JSON
// are tested.
func sendHostList(conn net.Conn, version int, entries ...hostEntry) {
	update := hostList{Version: version, Hosts: entries}
	text, _ := json.Marshal(update)
	if version%2 == 1 {
		text, _ = json.MarshalIndent(update, "", "\t")
	}
	fmt.Fprintf(conn, "%x\r\n%s\r\n%x\r\n%s\n\r\n", 5, text[:5], len(text)-4, text[5:])
}
