// Command toy is a minimal environment for a first trial. Without arguments it runs two stand-in engines and the name service to
// which example/config.json refers; "toy ask TEXT" sends one batch to the router of that file and prints the answer.
package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"pitchfield/internal/standin"
)

const (
	router   = "127.0.0.1:7400" // the address in example/config.json for clients
	resolver = "127.0.0.1:7453" // the address in example/config.json of the name service
)

// engines maps the id of each engine to its address.
var engines = map[string]string{"s-one": "127.0.0.1:7401", "s-two": "127.0.0.1:7402"}

func main() {
	var err error
	if len(os.Args) > 2 && os.Args[1] == "ask" {
		err = ask(strings.Join(os.Args[2:], " "))
	} else {
		err = serve()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

// serve runs the engines and the name service until the process is ended, and prints each request that an engine gets.
func serve() error {
	names, err := standin.NewNameService(resolver)
	if err != nil {
		return err
	}
	var hosts []standin.Host
	for id, address := range engines {
		_, err := standin.NewEngine(address, func(r standin.Request) [][]string {
			if r[0] == "fetch" {
				fmt.Println(id, strings.Join(r, " "))
			}
			return standin.ToyAnswer(r)
		})
		if err != nil {
			return err
		}
		hosts = append(hosts, standin.Host{ID: id, Zone: "hall", Kind: "std", Address: address})
	}
	names.Set(hosts...)
	fmt.Println("two engines and the name service are up")
	select {}
}

// ask sends one batch of the service group "lookup" to the router and prints its result. It waits up to 3 s.
func ask(text string) error {
	client, err := standin.Dial(router)
	if err != nil {
		return err
	}
	defer client.Close()
	id := strconv.FormatInt(time.Now().UnixNano(), 16)
	if err := client.SendBatch(1, "lookup", id, 2*time.Second, text); err != nil {
		return err
	}
	answer, err := client.ReadFrame(3 * time.Second)
	if err != nil {
		return err
	}
	fmt.Print(answer.Body)
	if answer.Code != 0 {
		return errors.New("not served: code " + strconv.Itoa(int(answer.Code)))
	}
	return nil
}
