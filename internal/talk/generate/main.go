// Command generate writes talk.pb.go from talk.proto with the protobuf library's own generator, so that no other program has
// to be there:
//
//	go generate ./internal/talk
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := run("talk.proto", "talk.pb.go"); err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
}

func run(from, to string) error {
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}, SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := c.Compile(context.Background(), from)
	if err != nil {
		return err
	}
	one := protodesc.ToFileDescriptorProto(files[0])
	parameter := "paths=source_relative"
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: []string{from}, Parameter: &parameter, ProtoFile: []*descriptorpb.FileDescriptorProto{one}}
	gen, err := protogen.Options{}.New(request)
	if err != nil {
		return err
	}
	for _, f := range gen.Files {
		if f.Generate {
			internal_gengo.GenerateFile(gen, f)
		}
	}
	answer := gen.Response()
	if answer.Error != nil {
		return fmt.Errorf("%s", answer.GetError())
	}
	return os.WriteFile(to, []byte(answer.File[0].GetContent()), 0o644)
}
