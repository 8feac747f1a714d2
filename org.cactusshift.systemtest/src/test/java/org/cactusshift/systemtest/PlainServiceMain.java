package org.cactusshift.systemtest;

import java.io.IOException;
import org.cactusshift.standin.PlainServiceSettings;
import org.cactusshift.standin.StandInPlainService;

/** Main class for the tests of {@link NodeProcess}: serves a plain service on a given port until it is signalled. */
final class PlainServiceMain {
    private PlainServiceMain() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        StandInPlainService service =
                StandInPlainService.create(new PlainServiceSettings(Integer.parseInt(args[0]), 0, 0));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> System.out.println("stopping")));
        service.start();
        Thread.currentThread().join();
    }
}
