package outcome_test

import (
	"errors"
	"fmt"
	"time"

	"hornbeamstep.example/routing/outcome"
)

func ExampleError() {
	var err error = &outcome.Error{
		Code: outcome.QueueFull, Outcome: outcome.NotRun, Status: 429, Message: "the queue is full",
		Remedy: "send the request again after the retry time", RetryAfter: 2 * time.Second,
	}
	var e *outcome.Error
	if errors.As(err, &e) {
		fmt.Println(e.Code, e.RetryAfter)
	}
	fmt.Println(err)
	// Output:
	// queue_full 2s
	// the queue is full (queue_full, not run): send the request again after the retry time
}
