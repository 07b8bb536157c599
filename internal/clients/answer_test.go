package clients

import (
	"fmt"
	"testing"
	"time"

	"ravensill/internal/bufconn"
	"ravensill/internal/golden"
)

// Answers are written in the order of the commands, each once, in whatever order they are set.
func TestAnswersKeepOrder(t *testing.T) {
	var written []int
	queue := AnswerQueue{
		out:     bufconn.NewBuffer(64),
		onReady: func(count int) { written = append(written, count) },
	}
	first, second, third := queue.Add(), queue.Add(), queue.Add()
	second.set(rejection(time.Millisecond + 1))
	third.set(errorReply("no\r\n+such"))
	if queue.out.Len() > 0 {
		t.Error("an answer is written before the answer to an earlier command")
	}
	first.set(successReply([]byte("v\r\n")))
	first.set(rejection(0))
	golden.Check(t, fmt.Sprintf("%sanswers written: %v\n", queue.out.Span(0, queue.out.Len()), written))
	queue.Add().set(make([]byte, 65))
	if !queue.overflowed {
		t.Error("overflowed is not set by an answer that does not fit")
	}
}
