package lineward;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.List;
import org.testng.annotations.Test;

/** A layer may use itself and the layers below it, never one above. */
public class LayersTest {
    private record Layer(String name, List<String> packages) {
        Layer(String name, String... packages) {
            this(name, List.of(packages));
        }
    }

    /** From the top down. */
    private static final List<Layer> LAYERS = List.of(
            new Layer("app", "lineward.app.."),
            new Layer("protocols", "lineward.thrift..", "lineward.mysql.."),
            new Layer("process", "lineward.lifecycle..", "lineward.operations..", "lineward.telemetry.."),
            new Layer("backends", "lineward.engine..", "lineward.discovery..", "lineward.gossip.."),
            new Layer("subsystems", "lineward.spool.."),
            new Layer("core", "lineward.core..", "lineward.frontend.."),
            new Layer("scheduling", "lineward.scheduling.."));

    @Test
    public void noLayerUsesOneAboveIt() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("lineward");
        LayeredArchitecture architecture = Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .ensureAllClassesAreContainedInArchitecture();
        for (Layer layer : LAYERS) {
            architecture =
                    architecture.layer(layer.name()).definedBy(layer.packages().toArray(String[]::new));
        }
        for (int i = 0; i < LAYERS.size(); i++) {
            String[] above = LAYERS.subList(0, i).stream().map(Layer::name).toArray(String[]::new);
            LayeredArchitecture.LayerDependencySpecification layer =
                    architecture.whereLayer(LAYERS.get(i).name());
            if (above.length == 0) {
                architecture = layer.mayNotBeAccessedByAnyLayer();
            } else {
                architecture = layer.mayOnlyBeAccessedByLayers(above);
            }
        }
        architecture.check(classes);
    }

    @Test(expectedExceptions = AssertionError.class)
    public void aLayerThatUsesOneAboveItIsFound() {
        JavaClasses classes = new ClassFileImporter().importPackages("lineward");
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("core")
                .definedBy("lineward.core..")
                .layer("mysql")
                .definedBy("lineward.mysql..")
                .whereLayer("core")
                .mayNotBeAccessedByAnyLayer()
                .check(classes);
    }
}
