package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bulrushlock/io/client"
	"bulrushlock/io/fake"
)

func ExampleClient_Do() {
	c, end, err := startSystem(fake.NewServer(fake.ServerOptions{Name: "filing-1"}))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequest(http.MethodPost, "/claims", strings.NewReader("1000 rupees"))
	if err != nil {
		fmt.Println(err)
		return
	}
	a, err := c.Do(ctx, r)
	var refused *client.NotRunError
	var unknown *client.UnknownError
	switch {
	case errors.As(err, &refused):
		fmt.Println("safe to send again:", refused.Reason)
	case errors.As(err, &unknown):
		fmt.Println("query the outcome with Recover and ticket", unknown.Ticket)
	case err != nil:
		fmt.Println(err)
	default:
		defer func() { _ = a.Body.Close() }()
		body, err := io.ReadAll(a.Body)
		fmt.Println(a.StatusCode, len(body) > 0, err)
	}
	// Output: 200 true <nil>
}
