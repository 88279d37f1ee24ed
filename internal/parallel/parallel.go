// Package parallel does several things beside each other, for tools that play many worlds.
package parallel

import "sync"

// Each does n things by number, so many beside each other, begun in their order, and waits for all.
func Each(concurrency, count int, do func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(concurrency, 1))
	for i := range count {
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			do(i)
		}()
	}
	wait.Wait()
}
