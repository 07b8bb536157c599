// Package simwire speaks the simulator's line protocol: it decodes lines into batches of events of package gateway, and
// writes the actions of a decision module as lines. It decides nothing.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"ravensill/gateway"
	"ravensill/internal/config"
)

const bufferBytes = 1 << 20

// Decider is the decision module of one gateway.
type Decider interface {
	Decide(in *gateway.Batch, out gateway.Actions)
}

// StartFunc returns the decision module of a gateway that starts with nothing but its settings. seed is that of its random
// numbers.
type StartFunc func(seed uint64, settings *config.Settings) Decider

// instance is one simulated gateway.
type instance struct {
	decider      Decider
	batch        *gateway.Batch // nil while it has no event in the batch
	classes      int            // number of request classes
	plans        int            // number of quota plans
	members      int            // number of gateways
	equalWeights bool
}

// server runs all instances of a simulation.
type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	start     StartFunc
	line      int         // number of the latest line read
	fields    fieldReader // of the latest line read
	clock     gateway.Time
	inBatch   bool
	instances map[int]*instance
	order     []int // instances with events in this batch
	lists     endpointLists
	current   int // instance of the latest ON; noInstance before one
}

const noInstance = -1

// Serve runs gateways until in ends. A malformed line ends it with an error that names line and field.
func Serve(in io.Reader, out io.Writer, start StartFunc) (err error) {
	s := &server{
		in:        bufio.NewReaderSize(in, bufferBytes),
		out:       bufio.NewWriterSize(out, bufferBytes),
		start:     start,
		instances: map[int]*instance{},
		current:   noInstance,
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("line %d: panic: %v", s.line, p)
		}
		if err != nil && s.inBatch && s.current != noInstance {
			s.writeFault(err)
		}
		err = errors.Join(err, s.out.Flush())
	}()
	for {
		line, err := s.readLine()
		if err == io.EOF && s.inBatch {
			return errors.New("input ended within a batch")
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.handle(line); err != nil {
			return fmt.Errorf("line %d: %w", s.line, err)
		}
	}
}

// readLine returns the next line without its end. The last line need not have one.
func (s *server) readLine() (string, error) {
	line, err := s.in.ReadString('\n')
	if err == io.EOF && line != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	s.line++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// writeFault ends the batch with an error instead of the current instance's actions.
func (s *server) writeFault(err error) {
	reason := strings.ReplaceAll(err.Error(), "\n", " ")
	fmt.Fprintf(s.out, "SPEAKING %d\nFAULT %s\nYIELD\n", s.current, reason)
}

// handle handles one line.
func (s *server) handle(line string) error {
	s.fields = newFieldReader(line)
	r := &s.fields
	if r.word == "MARK" {
		return s.beginBatch(r)
	}
	if !s.inBatch {
		return fmt.Errorf("%.40q outside a batch", r.word)
	}
	switch r.word {
	case "ON":
		s.current = r.integer("i", math.MaxInt32)
		return r.end()
	case "INVENTORY":
		return s.readEndpointList(r)
	case "YOUR_TURN":
		return s.endBatch(r)
	}
	if s.current == noInstance {
		return fmt.Errorf("%.40q before any ON", r.word)
	}
	if r.word == "POWER_ON" {
		return s.startInstance(r)
	}
	if s.instances[s.current] == nil {
		return fmt.Errorf("%.40q for instance %d, which is not on", r.word, s.current)
	}
	if r.word == "KILL" {
		delete(s.instances, s.current)
		return r.end()
	}
	return s.addEvent(r)
}

// beginBatch reads the MARK that starts a batch at an instant.
func (s *server) beginBatch(r *fieldReader) error {
	if s.inBatch {
		return errors.New("MARK within a batch")
	}
	now := r.instant("clock")
	if err := r.end(); err != nil {
		return err
	}
	if now < s.clock {
		return errors.New("MARK: clock: runs back")
	}
	s.inBatch = true
	s.clock = now
	s.current = noInstance
	return nil
}

// startInstance reads the POWER_ON that starts the current instance.
func (s *server) startInstance(r *fieldReader) error {
	seed := r.unsigned("init_seed")
	text := r.remainder("env")
	if err := r.end(); err != nil {
		return err
	}
	settings, err := config.DecodeSettings(text)
	if err != nil {
		return fmt.Errorf("POWER_ON: env: %w", err)
	}
	s.instances[s.current] = &instance{
		decider:      s.start(seed, settings),
		classes:      len(settings.Classes),
		plans:        len(settings.Plans),
		members:      settings.Membership.Count,
		equalWeights: settings.EqualWeights,
	}
	s.currentBatch() // even without an event, so that the instance decides at its start
	return nil
}

// addEvent decodes an event of the current instance and adds it to the instance's batch.
func (s *server) addEvent(r *fieldReader) error {
	i := s.instances[s.current]
	event, err := s.decodeEvent(r, i)
	if err != nil {
		return err
	}
	if err := r.end(); err != nil {
		return err
	}
	batch := s.currentBatch()
	batch.Events = append(batch.Events, event)
	return nil
}

func (s *server) decodeEvent(r *fieldReader, i *instance) (gateway.Event, error) {
	if r.word == "ANNOUNCE" {
		return s.lists.decodeAnnouncement(r, i)
	}
	decode, known := eventDecoders[r.word]
	if !known {
		return gateway.Event{}, fmt.Errorf("unknown message %.40q", r.word)
	}
	return decode(r, i), nil
}

// currentBatch returns the batch of the current instance, a new one before the instance's first event.
func (s *server) currentBatch() *gateway.Batch {
	i := s.instances[s.current]
	if i.batch == nil {
		i.batch = &gateway.Batch{Now: s.clock}
		s.order = append(s.order, s.current)
	}
	return i.batch
}

// readEndpointList reads an INVENTORY and the lines of its endpoints. r reads the latest line.
func (s *server) readEndpointList(r *fieldReader) error {
	number := r.integer("sheet", len(s.lists)-1)
	count := r.integer("hosts", math.MaxInt32)
	if err := r.end(); err != nil {
		return err
	}
	var list []gateway.Endpoint
	for range count {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return fmt.Errorf("INVENTORY: hosts: list cut short: %w", err)
		}
		s.line++
		s.fields = newFieldReader(strings.TrimSpace(line))
		if r.word != "M" {
			return fmt.Errorf("INVENTORY: hosts: M wanted, not %.40q", r.word)
		}
		endpoint := decodeEndpoint(r)
		if err := r.end(); err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	s.lists[number] = list
	return nil
}

// endBatch reads the YOUR_TURN that ends a batch, and lets every instance with an event decide.
func (s *server) endBatch(r *fieldReader) error {
	if err := r.end(); err != nil {
		return err
	}
	for _, id := range s.order {
		i := s.instances[id]
		if i == nil || i.batch == nil {
			continue
		}
		s.current = id
		i.decider.Decide(i.batch, &actionWriter{out: s.out, id: id})
		i.batch = nil
	}
	s.order = s.order[:0]
	s.inBatch = false
	s.out.WriteString("YIELD\n")
	return s.out.Flush()
}
