package publisher

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"ravensill/internal/sockets"
)

// Limits of the HTTP server for operators.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second // longest time to read a request with its body, and again to write the response
	idleTimeout    = time.Minute      // time after which a kept-alive connection without a request is closed
	maxHeaderBytes = 16 << 10
)

// listen opens the listeners for followers and for the HTTP API, and configures the HTTP server. Neither listener is
// served yet. The prefix of an error is the key of the address in the settings.
func (p *Publisher) listen() (admin net.Listener, err error) {
	p.listener, err = sockets.Listen(p.system, p.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	admin, err = sockets.Listen(p.system, p.cfg.AdminListen)
	if err != nil {
		p.listener.Close()
		return nil, fmt.Errorf("admin_listen: %w", err)
	}
	p.adminAddr = admin.Addr()
	p.admin = &http.Server{
		Handler:           p.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return admin, nil
}
