package emulator

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"

	"ravensill/lab/actor"
)

const listPath = "/v1/servers"

// serve answers one HTTP call. The local address of the connection identifies the gateway whose agent is called.
func (a *Agent) serve(response http.ResponseWriter, request *http.Request) {
	local, _ := netip.ParseAddrPort(request.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	gateway := LoopbackIndex(a.network, local.Addr())
	if gateway < 0 || gateway >= len(a.views) || request.URL.Path != listPath {
		http.Error(response, "nothing here", http.StatusNotFound)
		return
	}
	isWatch := request.URL.Query().Get("watch") == "1"
	after, _ := strconv.Atoi(request.URL.Query().Get("after"))
	call := &agentCall{chunks: make(chan []byte, chunkQueueSize), closed: make(chan struct{})}
	var mode AgentMode
	a.Ask(func() { mode = a.startCall(call, gateway, isWatch, after) })
	defer a.Do(func() { delete(a.views[gateway].watches, call) })
	if mode.Down {
		panic(http.ErrAbortHandler)
	}
	response.Header().Set("Content-Type", "application/json")
	if !mode.Silent && isWatch {
		response.WriteHeader(http.StatusOK)
		http.NewResponseController(response).Flush()
	}
	writeChunks(response, request, call, mode)
}

// startCall counts a call, queues the list that it gets at once and registers it if it is a watch. It returns the
// current mode of the gateway's agent.
func (a *Agent) startCall(call *agentCall, gateway int, isWatch bool, after int) AgentMode {
	view := a.views[gateway]
	a.calls[gateway]++
	switch {
	case view.mode.Silent || view.mode.Down:
		call.delivered = after
	case isWatch:
		call.delivered = after
		a.sendChanges(view, call)
	default:
		list, _ := a.encodeList(view, 0)
		a.deliveries = append(a.deliveries, Delivery{gateway, view.version, actor.Now()})
		call.send(view.mode.truncate(list))
		call.send(nil)
	}
	if isWatch && !view.mode.Down {
		view.watches[call] = true
	}
	return view.mode
}

// writeChunks writes the chunks of a call until it ends. It breaks the connection if a list was truncated or the call
// was closed.
func writeChunks(response http.ResponseWriter, request *http.Request, call *agentCall, mode AgentMode) {
	for {
		select {
		case chunk := <-call.chunks:
			if chunk == nil {
				if mode.SentFraction > 0 || call.truncated {
					panic(http.ErrAbortHandler)
				}
				return
			}
			writeChunk(response, chunk, mode.ChunkSize)
		case <-call.closed:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
	}
}

// writeChunk writes bytes in pieces of a size and flushes each; 0 means one piece.
func writeChunk(response http.ResponseWriter, chunk []byte, size int) {
	controller := http.NewResponseController(response)
	for len(chunk) > 0 {
		n := len(chunk)
		if size > 0 {
			n = min(n, size)
		}
		response.Write(chunk[:n])
		controller.Flush()
		chunk = chunk[n:]
	}
}
