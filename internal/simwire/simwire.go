// Package simwire implements the line protocol of the simulator. It decodes lines into batches of events of package
// gateway, passes them to the decision modules of the simulated gateways, and writes their actions as lines. A line
// consists of a message type and values, separated by single spaces.
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

const bufferBytes = 1 << 20 // size of the buffers of input and of output

// Decider is the decision module of one gateway.
type Decider interface {
	// Decide handles the events of a batch and passes the resulting actions to out. It may use out only until it
	// returns.
	Decide(in *gateway.Batch, out gateway.Actions)
}

// StartFunc returns the decision module of a gateway that starts without any state but its settings. seed is the seed
// of its random numbers.
type StartFunc func(seed uint64, settings *config.Settings) Decider

// instance is one simulated gateway that is on. Its decoders need the numbers of classes, plans and members to check
// values.
type instance struct {
	decider      Decider
	batch        *gateway.Batch // its events in the current batch; nil while it has none
	classes      int            // number of request classes
	plans        int            // number of quota plans
	members      int            // number of gateways
	equalWeights bool           // announced weights are replaced by 1, see config.Settings.EqualWeights
}

// server runs all instances of a simulation. A batch consists of the lines from MARK to YOUR_TURN.
type server struct {
	in              *bufio.Reader
	out             *bufio.Writer
	startDecider    StartFunc
	lineNumber      int               // number of the latest line read
	fields          fieldReader       // reads the latest line
	clock           gateway.Time      // time of the latest MARK
	inBatch         bool              // whether the latest line is between MARK and YOUR_TURN
	instances       map[int]*instance // instances that are on, by their number in ON
	batchOrder      []int             // instances with events in this batch, in the order in which they decide
	endpointLists   endpointLists
	currentInstance int // instance of the latest ON in this batch; noInstance before one
}

const noInstance = -1

// Serve runs simulated gateways until in ends, which may not be within a batch. A malformed line or a panic ends it
// with an error that names the line and, if possible, the field. If there is a current instance, the error is written
// as the instance's FAULT too.
func Serve(in io.Reader, out io.Writer, start StartFunc) (err error) {
	s := &server{
		in:              bufio.NewReaderSize(in, bufferBytes),
		out:             bufio.NewWriterSize(out, bufferBytes),
		startDecider:    start,
		instances:       map[int]*instance{},
		currentInstance: noInstance,
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("line %d: panic: %v", s.lineNumber, p)
		}
		if err != nil && s.inBatch && s.currentInstance != noInstance {
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
		if err := s.handleLine(line); err != nil {
			return fmt.Errorf("line %d: %w", s.lineNumber, err)
		}
	}
}

// readLine returns the next line without its line end, which the last line need not have.
func (s *server) readLine() (string, error) {
	line, err := s.in.ReadString('\n')
	if err == io.EOF && line != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	s.lineNumber++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// writeFault ends the batch with a FAULT of the current instance in place of its actions.
func (s *server) writeFault(err error) {
	reason := strings.ReplaceAll(err.Error(), "\n", " ")
	fmt.Fprintf(s.out, "SPEAKING %d\nFAULT %s\nYIELD\n", s.currentInstance, reason)
}

// handleLine handles one line. Lines of endpoints, which follow an INVENTORY, are read along with that.
func (s *server) handleLine(line string) error {
	s.fields = newFieldReader(line)
	r := &s.fields
	if r.messageType == "MARK" {
		return s.beginBatch(r)
	}
	if !s.inBatch {
		return fmt.Errorf("%.40q outside a batch", r.messageType)
	}
	switch r.messageType {
	case "ON":
		s.currentInstance = r.integer("i", math.MaxInt32)
		return r.finish()
	case "INVENTORY":
		return s.readEndpointList(r)
	case "YOUR_TURN":
		return s.endBatch(r)
	}
	if s.currentInstance == noInstance {
		return fmt.Errorf("%.40q before any ON", r.messageType)
	}
	if r.messageType == "POWER_ON" {
		return s.startInstance(r)
	}
	if s.instances[s.currentInstance] == nil {
		return fmt.Errorf("%.40q for instance %d, which is not on", r.messageType, s.currentInstance)
	}
	if r.messageType == "KILL" {
		delete(s.instances, s.currentInstance)
		return r.finish()
	}
	return s.addEvent(r)
}

// beginBatch reads the MARK that starts a batch and sets the clock, which must not go back.
func (s *server) beginBatch(r *fieldReader) error {
	if s.inBatch {
		return errors.New("MARK within a batch")
	}
	now := r.instant("clock")
	if err := r.finish(); err != nil {
		return err
	}
	if now < s.clock {
		return errors.New("MARK: clock: runs back")
	}
	s.inBatch = true
	s.clock = now
	s.currentInstance = noInstance
	return nil
}

// startInstance reads the POWER_ON that starts the current instance, or restarts it without its state.
func (s *server) startInstance(r *fieldReader) error {
	seed := r.unsigned("init_seed")
	text := r.remainder("env")
	if err := r.finish(); err != nil {
		return err
	}
	settings, err := config.DecodeSettings(text)
	if err != nil {
		return fmt.Errorf("POWER_ON: env: %w", err)
	}
	s.instances[s.currentInstance] = &instance{
		decider:      s.startDecider(seed, settings),
		classes:      len(settings.Classes),
		plans:        len(settings.Plans),
		members:      settings.Membership.Count,
		equalWeights: settings.EqualWeights,
	}
	s.currentBatch() // so that the instance decides at its start, even without an event
	return nil
}

// addEvent reads an event of the current instance and adds it to the instance's batch.
func (s *server) addEvent(r *fieldReader) error {
	i := s.instances[s.currentInstance]
	event, err := s.decodeEvent(r, i)
	if err != nil {
		return err
	}
	if err := r.finish(); err != nil {
		return err
	}
	batch := s.currentBatch()
	batch.Events = append(batch.Events, event)
	return nil
}

func (s *server) decodeEvent(r *fieldReader, i *instance) (gateway.Event, error) {
	if r.messageType == "ANNOUNCE" {
		return s.endpointLists.decodeAnnouncement(r, i)
	}
	decode, known := eventDecoders[r.messageType]
	if !known {
		return gateway.Event{}, fmt.Errorf("unknown message %.40q", r.messageType)
	}
	return decode(r, i), nil
}

// currentBatch returns the batch of the current instance. It creates the batch if there is none.
func (s *server) currentBatch() *gateway.Batch {
	i := s.instances[s.currentInstance]
	if i.batch == nil {
		i.batch = &gateway.Batch{Now: s.clock}
		s.batchOrder = append(s.batchOrder, s.currentInstance)
	}
	return i.batch
}

// readEndpointList reads an INVENTORY and the M lines of its endpoints. r must be &s.fields, so that it reads each M
// line in turn.
func (s *server) readEndpointList(r *fieldReader) error {
	number := r.integer("sheet", len(s.endpointLists)-1)
	count := r.integer("hosts", math.MaxInt32)
	if err := r.finish(); err != nil {
		return err
	}
	var list []gateway.Endpoint
	for range count {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return fmt.Errorf("INVENTORY: hosts: list cut short: %w", err)
		}
		s.lineNumber++
		s.fields = newFieldReader(strings.TrimSpace(line))
		if r.messageType != "M" {
			return fmt.Errorf("INVENTORY: hosts: M wanted, not %.40q", r.messageType)
		}
		endpoint := decodeEndpoint(r)
		if err := r.finish(); err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	s.endpointLists[number] = list
	return nil
}

// endBatch reads the YOUR_TURN that ends a batch, and lets every instance that has started or has an event decide.
// YIELD ends the reply.
func (s *server) endBatch(r *fieldReader) error {
	if err := r.finish(); err != nil {
		return err
	}
	for _, id := range s.batchOrder {
		i := s.instances[id]
		if i == nil || i.batch == nil {
			continue
		}
		s.currentInstance = id
		i.decider.Decide(i.batch, &actionWriter{out: s.out, instanceID: id})
		i.batch = nil
	}
	s.batchOrder = s.batchOrder[:0]
	s.inBatch = false
	s.out.WriteString("YIELD\n")
	return s.out.Flush()
}
