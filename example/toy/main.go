// Command toy is a newcomer's world: with no arguments it plays two engines and the name service that
// example/config.json names; "toy ask TEXT" sends one batch to the router of that file and prints the answer.
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
	router   = "127.0.0.1:7400"
	resolver = "127.0.0.1:7453"
)

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

func ask(text string) error {
	c, err := standin.Dial(router)
	if err != nil {
		return err
	}
	defer c.Close()
	id := strconv.FormatInt(time.Now().UnixNano(), 16)
	if err := c.SendBatch(1, "lookup", id, 2*time.Second, text); err != nil {
		return err
	}
	a, err := c.ReadFrame(3 * time.Second)
	if err != nil {
		return err
	}
	fmt.Print(a.Body)
	if a.Code != 0 {
		return errors.New("not served: code " + strconv.Itoa(int(a.Code)))
	}
	return nil
}
