// Package parallel does several things beside each other, for tools that play many worlds.
package parallel

import "sync"

// Each does n things by number, so many beside each other, begun in their order, and waits for all.
func Each(beside, n int, do func(i int)) {
	var wait sync.WaitGroup
	free := make(chan struct{}, max(beside, 1))
	for i := range n {
		free <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-free }()
			do(i)
		}()
	}
	wait.Wait()
}
