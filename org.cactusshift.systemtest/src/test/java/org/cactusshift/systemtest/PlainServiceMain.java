package org.cactusshift.systemtest;

import java.io.IOException;
import org.cactusshift.standin.PlainServiceSettings;
import org.cactusshift.standin.StandInPlainService;

/**
 * Main class for the tests of {@link NodeProcess}: serves a plain service on the port in {@code args[0]} until the
 * process is ended, and prints "stopping" when its shutdown hook runs.
 */
final class PlainServiceMain {
    private PlainServiceMain() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        // Calls take no time, and load reports have no lag.
        StandInPlainService service =
                StandInPlainService.create(new PlainServiceSettings(Integer.parseInt(args[0]), 0, 0));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> System.out.println("stopping")));
        service.start();
        Thread.currentThread().join();
    }
}
