package org.cactusshift.pgm;

import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the version of the program. */
public final class VersionCommand implements Command {
    @Override
    public String name() {
        return "version";
    }

    @Override
    public String summary() {
        return "prints the version";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, Console console) {
        // The version is in the manifest of the JAR; classes run from a build directory have none.
        Optional<String> version =
                Optional.ofNullable(VersionCommand.class.getPackage().getImplementationVersion());
        console.out().println("cactusshift " + version.orElse("unpackaged"));
        return ExitStatus.SUCCESS;
    }
}
