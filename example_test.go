package figmast_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	figmast "github.com/figmast/figmast"
)

// This example makes a booking at most once, even if some hosts fail.
func ExampleClient_Command() {
	client, err := figmast.NewClient(figmast.ClientOptions{Hosts: []string{"10.0.0.1:8080", "10.0.0.2:8080"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ans, err := client.Command(ctx, "counter-desk", figmast.CommandRequest{
		Operation: "book", ShardKey: "strap-7", Payload: json.RawMessage(`{"strap":7}`),
	})
	var p *figmast.Problem
	switch {
	case err == nil:
		fmt.Println("booked", ans.Result)
	case errors.As(err, &p) && p.Outcome == figmast.NotRun:
		fmt.Println("not booked, try later")
	case errors.As(err, &p) && p.Outcome == figmast.Ran:
		fmt.Println("booked, but the result is lost")
	default:
		fmt.Println("look whether it is booked", err)
	}
}
