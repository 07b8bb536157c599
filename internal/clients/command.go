package clients

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ravensill/internal/bufconn"
	"ravensill/internal/resp"
)

// Commands of the wire protocol.
const (
	verbPing = "PING"
	verbGet  = "CALL.GET"
	verbPost = "CALL.POST"
)

// Bounds of a command.
const (
	customerDigits  = 16                 // hexadecimal digits of a customer's number
	customerLimit   = "0000000200000000" // 2^33: every customer's number is less
	maxIDBytes      = 64                 // longest id of a request
	minCommandWords = 4                  // words of a request without a body
	maxCommandWords = 5                  // words of a request with a body
)

var (
	errNoCommand    = errors.New("commands are arrays of bulk strings")
	errNullWord     = errors.New("null in a command")
	errBodyOfGet    = errors.New("CALL.GET takes no body")
	errInvalidID    = errors.New("id: 1 to 64 bytes wanted, none of them a space or a control")
	errInvalidBytes = errors.New("names and values: a space or a control among them")
)

// verbOf returns the verb by which read-only requests, or all other requests, are sent.
func verbOf(readOnly bool) string {
	if readOnly {
		return verbGet
	}
	return verbPost
}

// parsedRequest is the content of a request's command. Its slices are valid until the handler returns.
type parsedRequest struct {
	verb     []byte
	customer []byte
	id       []byte
	before   []byte // the list of arguments up to the number of d
	after    []byte // the list of arguments behind the number of d
	body     []byte // nil without one
	terms    requestTerms
	wait     time.Duration // how long the client waits for the answer, from the arrival of the request
	retry    bool          // whether the client marked the request as a retry
}

// commandHandler receives the commands that a CommandParser has parsed, in their order. What it is passed is valid only
// until the method returns.
type commandHandler interface {
	handleRequest(request parsedRequest)
	handlePing()
	handleDiscarded()             // called for a command whose content was discarded for lack of memory
	handleMalformed(reason error) // also called for a request that the catalog does not permit
}

// CommandParser parses the commands of one client as their bytes arrive. It is not safe for concurrent use.
type CommandParser struct {
	catalog *Catalog
	parser  resp.Parser
}

// Next passes the next complete command in the buffer to the handler and reports whether there was one. It fails if the
// bytes are no array of bulk strings. The connection must be closed then, because it is unknown where the next command
// starts.
func (p *CommandParser) Next(in *bufconn.Buffer, handler commandHandler) (bool, error) {
	value, complete, err := p.parser.Next(in)
	if err != nil || !complete {
		return false, err
	}
	if value.Kind != '*' {
		return false, errNoCommand
	}
	if value.Discarded {
		handler.handleDiscarded()
		return true, nil
	}
	if err := p.handle(value.BulkStrings, handler); err != nil {
		handler.handleMalformed(err)
	}
	return true, nil
}

// Discard drops the incomplete command for which Next has just returned false: what has arrived of it, and the rest as
// it arrives. It fails if the bytes are no command; the connection must be closed then.
func (p *CommandParser) Discard(in *bufconn.Buffer) error { return p.parser.Discard(in) }

// Incomplete reports whether a command has begun to arrive for which Next has just returned false.
func (p *CommandParser) Incomplete(in *bufconn.Buffer) bool {
	return in.Len() > 0 || p.parser.Discarding()
}

// handle passes one command to the handler, or returns an error if it is malformed or not permitted by the catalog.
func (p *CommandParser) handle(words [][]byte, handler commandHandler) error {
	if slices.ContainsFunc(words, isNull) {
		return errNullWord
	}
	verb := words[0]
	switch string(verb) {
	case verbPing:
		handler.handlePing()
		return nil
	case verbGet, verbPost:
	default:
		return fmt.Errorf("unknown command %.40q", verb)
	}
	if err := checkWords(words); err != nil {
		return err
	}
	arguments := newArguments(words[3], string(verb) == verbGet)
	if err := arguments.parse(p.catalog); err != nil {
		return err
	}
	if err := p.catalog.check(&arguments.terms); err != nil {
		return err
	}
	request := parsedRequest{
		verb:     verb,
		customer: words[1],
		id:       words[2],
		before:   arguments.list[:arguments.waitStart],
		after:    arguments.list[arguments.waitEnd:],
		terms:    arguments.terms,
		wait:     arguments.wait,
		retry:    arguments.retry,
	}
	if len(words) == maxCommandWords {
		request.body = words[4]
	}
	handler.handleRequest(request)
	return nil
}

// isNull reports whether a word is the null bulk string.
func isNull(word []byte) bool { return word == nil }

// checkWords returns an error if the words of a request are malformed. They are verb, customer, id, list of arguments
// and optionally, except with CALL.GET, a body. The arguments in the list are not checked here.
func checkWords(words [][]byte) error {
	if len(words) < minCommandWords || len(words) > maxCommandWords {
		return fmt.Errorf("%s: %d words, not 4 or 5", words[0], len(words))
	}
	if string(words[0]) == verbGet && len(words) == maxCommandWords {
		return errBodyOfGet
	}
	customer, id, list := words[1], words[2], words[3]
	if !isCustomer(customer) {
		return fmt.Errorf("customer: %.40q is not 16 hex digits of a number below 2^33", customer)
	}
	if len(id) == 0 || len(id) > maxIDBytes || !isPlain(id) {
		return errInvalidID
	}
	if !isPlain(list) {
		return errInvalidBytes
	}
	return nil
}

// isCustomer reports whether text is a customer's number: 16 lower-case hexadecimal digits of a number below 2^33.
func isCustomer(text []byte) bool {
	if len(text) != customerDigits || string(text) >= customerLimit {
		return false
	}
	for _, b := range text {
		isHex := b >= '0' && b <= '9' || b >= 'a' && b <= 'f'
		if !isHex {
			return false
		}
	}
	return true
}

// isPlain reports whether text is printable ASCII without spaces. A host could take other bytes for the end of a word.
func isPlain(text []byte) bool {
	for _, b := range text {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}
