// Command verbenad is a program of verbenabank.
package main

func main() {}
